//! Encoding and authentication of envelopes between instances.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{
    message::{MAX_ENVELOPE_BYTES, PEER_PROTOCOL, PeerEnvelope},
    settings::PeerSecret,
};

/// HTTP header that carries the HMAC-SHA-256 of an envelope in hex.
pub const SIGNATURE_HEADER: &str = "x-wasabistall-signature";
/// HTTP path to which envelopes are posted.
pub const PEER_PATH: &str = "/peer/v1/envelopes";

/// Reason for rejecting an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnvelopeError {
    /// The body is longer than [`MAX_ENVELOPE_BYTES`].
    TooLong,
    /// The signature is missing or matches none of the accepted secrets.
    InvalidSignature,
    /// The body cannot be decoded.
    Malformed,
    /// The sender speaks another protocol version.
    ProtocolMismatch,
    /// The sender belongs to another fleet.
    FleetMismatch,
}

impl EnvelopeError {
    /// Name of the error in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EnvelopeError::TooLong => "too_long",
            EnvelopeError::InvalidSignature => "bad_signature",
            EnvelopeError::Malformed => "garbage",
            EnvelopeError::ProtocolMismatch => "other_protocol",
            EnvelopeError::FleetMismatch => "other_fleet",
        }
    }

    /// HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            EnvelopeError::TooLong => 413,
            EnvelopeError::InvalidSignature => 401,
            EnvelopeError::Malformed => 400,
            EnvelopeError::ProtocolMismatch | EnvelopeError::FleetMismatch => 409,
        }
    }
}

/// An encoded envelope and its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedEnvelope {
    /// The envelope, encoded as MessagePack.
    pub body: Vec<u8>,
    /// Value of [`SIGNATURE_HEADER`].
    pub signature: String,
}

fn mac(secret: &PeerSecret, body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes()).ok()?;
    mac.update(body);
    Some(mac)
}

/// Encodes an envelope and signs it with the first secret.
///
/// Returns `None` if there is no secret or the envelope cannot be encoded.
pub fn encode(envelope: &PeerEnvelope, secrets: &[PeerSecret]) -> Option<SignedEnvelope> {
    let body = rmp_serde::to_vec(envelope).ok()?;
    let mac = mac(secrets.first()?, &body)?;
    let signature = hex::encode(mac.finalize().into_bytes());
    Some(SignedEnvelope { body, signature })
}

/// Verifies and decodes an envelope, which may be signed with any of the secrets.
///
/// # Errors
///
/// Returns an error if the envelope is too long, is signed with none of the secrets, cannot be
/// decoded, or comes from another protocol version or fleet.
pub fn decode(
    body: &[u8],
    signature: &str,
    secrets: &[PeerSecret],
    fleet: &str,
) -> Result<PeerEnvelope, EnvelopeError> {
    if body.len() > MAX_ENVELOPE_BYTES {
        return Err(EnvelopeError::TooLong);
    }
    let signature = hex::decode(signature).map_err(|_| EnvelopeError::InvalidSignature)?;
    let verified = secrets
        .iter()
        .any(|secret| mac(secret, body).is_some_and(|mac| mac.verify_slice(&signature).is_ok()));
    if !verified {
        return Err(EnvelopeError::InvalidSignature);
    }
    let envelope: PeerEnvelope =
        rmp_serde::from_slice(body).map_err(|_| EnvelopeError::Malformed)?;
    if envelope.protocol != PEER_PROTOCOL {
        return Err(EnvelopeError::ProtocolMismatch);
    }
    if envelope.fleet != fleet {
        return Err(EnvelopeError::FleetMismatch);
    }
    Ok(envelope)
}
