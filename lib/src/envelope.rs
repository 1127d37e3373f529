//! Encoding and authentication of envelopes between instances.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::{
    message::{MAX_ENVELOPE_BYTES, PEER_PROTOCOL, PeerEnvelope},
    settings::PeerSecret,
};

/// HTTP header with the hex HMAC-SHA-256 of an envelope.
pub const SIGNATURE_HEADER: &str = "x-wasabistall-signature";
/// Path to which envelopes are posted.
pub const PEER_PATH: &str = "/peer/v1/envelopes";

/// Why an envelope was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EnvelopeError {
    /// Longer than [`MAX_ENVELOPE_BYTES`].
    TooLong,
    /// The signature is missing or fits no accepted secret.
    BadSignature,
    /// Not an envelope.
    Malformed,
    /// Of another protocol version.
    OtherProtocol,
    /// Of another fleet.
    OtherFleet,
}

impl EnvelopeError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EnvelopeError::TooLong => "too_long",
            EnvelopeError::BadSignature => "bad_signature",
            EnvelopeError::Malformed => "garbage",
            EnvelopeError::OtherProtocol => "other_protocol",
            EnvelopeError::OtherFleet => "other_fleet",
        }
    }

    /// HTTP status code of the refusal.
    pub fn status(self) -> u16 {
        match self {
            EnvelopeError::TooLong => 413,
            EnvelopeError::BadSignature => 401,
            EnvelopeError::Malformed => 400,
            EnvelopeError::OtherProtocol | EnvelopeError::OtherFleet => 409,
        }
    }
}

/// An encoded envelope and its signature.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedBytes {
    /// The envelope in MessagePack.
    pub body: Vec<u8>,
    /// Value of [`SIGNATURE_HEADER`].
    pub signature: String,
}

fn mac(secret: &PeerSecret, body: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.bytes()).ok()?;
    mac.update(body);
    Some(mac)
}

/// Encodes and signs an envelope with the first secret.
///
/// Returns `None` without a secret or when the envelope cannot be encoded.
pub fn encode(envelope: &PeerEnvelope, secrets: &[PeerSecret]) -> Option<SignedBytes> {
    let body = rmp_serde::to_vec(envelope).ok()?;
    let mac = mac(secrets.first()?, &body)?;
    let signature = hex::encode(mac.finalize().into_bytes());
    Some(SignedBytes { body, signature })
}

/// Checks and decodes an envelope; any of the secrets may have signed it.
pub fn decode(
    body: &[u8],
    signature: &str,
    secrets: &[PeerSecret],
    fleet: &str,
) -> Result<PeerEnvelope, EnvelopeError> {
    if body.len() > MAX_ENVELOPE_BYTES {
        return Err(EnvelopeError::TooLong);
    }
    let signature = hex::decode(signature).map_err(|_| EnvelopeError::BadSignature)?;
    let signed = secrets
        .iter()
        .any(|secret| mac(secret, body).is_some_and(|mac| mac.verify_slice(&signature).is_ok()));
    if !signed {
        return Err(EnvelopeError::BadSignature);
    }
    let envelope: PeerEnvelope =
        rmp_serde::from_slice(body).map_err(|_| EnvelopeError::Malformed)?;
    if envelope.protocol != PEER_PROTOCOL {
        return Err(EnvelopeError::OtherProtocol);
    }
    if envelope.fleet != fleet {
        return Err(EnvelopeError::OtherFleet);
    }
    Ok(envelope)
}
