//! Messages and settings, generated from the schema, and their conversions.

pub mod codec;
pub mod settings;

#[rustfmt::skip]
#[allow(missing_docs, unreachable_pub, clippy::all)]
#[path = "generated/messages.rs"]
pub mod messages;

#[rustfmt::skip]
#[path = "generated/settings.rs"]
mod node_settings;

pub use node_settings::NodeSettings;
pub use node_settings::SPECS;
