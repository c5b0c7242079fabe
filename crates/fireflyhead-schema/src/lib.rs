//! Messages between nodes and settings of `fireflyhead-node`, generated from the files in
//! `schema/`, with the codec of the messages and the parser of the settings.

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
pub use node_settings::SETTING_SPECS;
