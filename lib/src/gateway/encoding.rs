//! Encoding of messages between instances: MessagePack, compressed if they are large.

use std::io::{self, Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Serialize, de::DeserializeOwned};

use super::message::{PeerAnswer, PeerCall};

/// Smallest message that is compressed, in bytes. Of all messages only configurations with many
/// routes are larger, which compress to a fifth.
const MIN_COMPRESSED_BYTES: usize = 32 * 1024;

/// Largest message before compression, in bytes; it fits a configuration of the platform's maximum
/// value size together with all servers.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// An encoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// The bytes to send.
    pub body: Vec<u8>,
    /// Whether they are compressed with deflate.
    pub is_compressed: bool,
}

/// Encodes a call to a peer.
///
/// # Errors
///
/// Returns an error if the message cannot be serialized.
pub fn encode_call(call: &PeerCall) -> io::Result<EncodedMessage> {
    encode(call)
}

/// Encodes a peer's answer.
///
/// # Errors
///
/// Returns an error if the message cannot be serialized.
pub fn encode_answer(answer: &PeerAnswer) -> io::Result<EncodedMessage> {
    encode(answer)
}

/// Decodes a call of a peer.
///
/// # Errors
///
/// Returns an error if the message is malformed or longer than [`MAX_MESSAGE_BYTES`].
pub fn decode_call(body: &[u8], is_compressed: bool) -> io::Result<PeerCall> {
    decode(body, is_compressed)
}

/// Decodes a peer's answer.
///
/// # Errors
///
/// Returns an error if the message is malformed or longer than [`MAX_MESSAGE_BYTES`].
pub fn decode_answer(body: &[u8], is_compressed: bool) -> io::Result<PeerAnswer> {
    decode(body, is_compressed)
}

fn encode(message: &impl Serialize) -> io::Result<EncodedMessage> {
    let body = rmp_serde::to_vec(message).map_err(io::Error::other)?;
    if body.len() < MIN_COMPRESSED_BYTES {
        return Ok(EncodedMessage {
            body,
            is_compressed: false,
        });
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&body)?;
    Ok(EncodedMessage {
        body: encoder.finish()?,
        is_compressed: true,
    })
}

fn decode<T: DeserializeOwned>(body: &[u8], is_compressed: bool) -> io::Result<T> {
    if !is_compressed {
        return rmp_serde::from_slice(body).map_err(io::Error::other);
    }
    let mut decompressed = Vec::new();
    // A small message can expand to any size.
    let mut decoder = DeflateDecoder::new(body).take(MAX_MESSAGE_BYTES as u64);
    decoder.read_to_end(&mut decompressed)?;
    rmp_serde::from_slice(&decompressed).map_err(io::Error::other)
}
