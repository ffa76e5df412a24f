//! The contents of a frame between nodes.

use bytes::Bytes;
use serde::Serialize;

/// Encodes a message.
pub(super) fn encode<T: Serialize>(message: &T) -> Bytes {
    postcard::to_stdvec(message).expect("messages can be encoded by postcard").into()
}
