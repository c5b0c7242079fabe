//! Proxy between a node and the store that carries what the store sends at the rate of the node's
//! link, and carries nothing while the link is cut.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Size of a piece that is passed on at once, in bytes.
const PIECE: usize = 4 * 1024;

/// Link of a node to the store.
#[derive(Clone, Default)]
pub struct Link {
    is_cut: Arc<(Mutex<bool>, Condvar)>,
}

impl Link {
    /// Starts a proxy to `target`, whose answers share a link of `mbps` megabits a second.
    pub fn start(&self, target: SocketAddr, mbps: f64) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let free_at = Arc::new(Mutex::new(Instant::now()));
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
                let (out, back, free_at) = (link.clone(), link.clone(), Arc::clone(&free_at));
                thread::spawn(move || carry(near, far_out, |_| out.wait()));
                thread::spawn(move || {
                    carry(far, near_out, move |bytes| {
                        back.wait();
                        let time = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
                        let mut free_at = free_at.lock().unwrap();
                        *free_at = (*free_at).max(Instant::now()) + time;
                        let until = *free_at;
                        drop(free_at);
                        thread::sleep(until.saturating_duration_since(Instant::now()));
                    });
                });
            }
        });
        address
    }

    /// Cuts the link, or ends the cut.
    pub fn set_cut(&self, is_cut: bool) {
        *self.is_cut.0.lock().unwrap() = is_cut;
        self.is_cut.1.notify_all();
    }

    /// Waits until the link isn't cut.
    fn wait(&self) {
        let is_cut = self.is_cut.0.lock().unwrap();
        drop(self.is_cut.1.wait_while(is_cut, |is_cut| *is_cut).unwrap());
    }
}

/// Carries bytes until one end closes, with a wait for each piece.
fn carry(mut from: TcpStream, mut to: TcpStream, wait: impl Fn(usize)) {
    let mut piece = [0; PIECE];
    while let Ok(len) = from.read(&mut piece) {
        if len == 0 {
            break;
        }
        wait(len);
        if to.write_all(&piece[..len]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}
