//! Both ends of a request between its entry and the owner of the upstream.
//!
//! The ends are the same for an upstream of this node and for one of a peer, so
//! that the entry and the dispatcher don't tell the two apart.

use fireflyhead_schema::messages::peer_frame::Body;
use tokio::sync::mpsc;

/// Frames buffered in each direction.
const FRAMES: usize = 32;

/// The entry's end: it sends `Permit` and `Cancel` and receives everything else.
///
/// Dropping it cancels the request. A receiver that ends without a final frame
/// means that the owner was lost.
#[derive(Debug)]
pub struct RunStream {
    /// Orders to the owner.
    pub orders: mpsc::Sender<Body>,
    /// Frames of the owner.
    pub frames: mpsc::Receiver<Body>,
}

/// The owner's end.
#[derive(Debug)]
pub struct RunPort {
    /// Orders of the entry; ends when the entry is gone.
    pub orders: mpsc::Receiver<Body>,
    /// Frames to the entry.
    pub frames: mpsc::Sender<Body>,
}

/// Both ends of a new request.
pub fn pair() -> (RunStream, RunPort) {
    let (orders, order_rx) = mpsc::channel(FRAMES);
    let (frame_tx, frames) = mpsc::channel(FRAMES);
    (RunStream { orders, frames }, RunPort { orders: order_rx, frames: frame_tx })
}

/// Whether `frame` is the last one of the owner.
pub fn is_final(frame: &Body) -> bool {
    matches!(frame, Body::End(_) | Body::Redirect(_) | Body::Refused(_))
}
