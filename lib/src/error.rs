//! The error kinds that a caller can receive, and the response to each of them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as, skip_serializing_none};
use smol_str::SmolStr;

/// Reason for refusing a request, or for its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The body is not a valid request for the API endpoint.
    MalformedRequest,
    /// The body is longer than the instance's limit.
    BodyTooLarge,
    /// The headers are longer than the instance's limit.
    HeadersTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// The route requires a key and the request has none.
    MissingKey,
    /// The key is malformed or unknown, or its digest does not match.
    InvalidKey,
    /// The key was withdrawn before the request arrived or while it was being processed.
    KeyWithdrawn,
    /// The adapter or service belongs to another team.
    NotYourAdapter,
    /// The base model, adapter or adapter version does not exist or is not in service.
    UnknownModel,
    /// The plain service does not exist.
    UnknownService,
    /// The path does not exist, or does not support the method.
    UnknownRoute,
    /// The team has exhausted its rate limit and burst.
    RateExceeded,
    /// The request needs more than the team's whole burst.
    RequestTooLarge,
    /// The queue for the backend servers is full.
    QueueFull,
    /// No backend server can accept the request now.
    NoServer,
    /// The instance has no configuration or no rate allowance yet.
    NotReady,
    /// The instance is shutting down and accepts no new requests.
    ShuttingDown,
    /// The deadline passed before a response arrived.
    DeadlineExceeded,
    /// The connection to the backend server was lost; the request may have run.
    ServerLost,
    /// The backend server refused the request.
    ServerRefused,
    /// The response was interrupted after its first byte.
    AnswerBroken,
    /// The call is not idempotent and carries no idempotency key.
    IdempotencyKeyRequired,
    /// The idempotency key was used by an earlier request, which may have run.
    IdempotencyKeyUsed,
    /// The idempotency key was issued by another instance or an earlier incarnation of this one.
    IdempotencyKeyElsewhere,
    /// The idempotency key has expired.
    IdempotencyKeyExpired,
    /// An internal error of the instance.
    InternalFault,
}

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request certainly did not run.
    NotRun,
    /// The request may have run, at most once.
    Unknown,
}

/// Advice to the caller on retrying after an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryAdvice {
    /// Do not retry: the same request fails again until something is changed.
    Never,
    /// Retry after the delay given in the response.
    AfterDelay,
    /// Retry immediately at another address.
    OtherAddress,
    /// Retry only if the call is idempotent; otherwise find out its outcome first.
    IfIdempotent,
}

/// The response to an error kind: one row of [`ERROR_TABLE`].
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ErrorResponse {
    /// The error kind.
    pub kind: ErrorKind,
    /// HTTP status code.
    pub status: u16,
    /// Advice on retries.
    pub retry: RetryAdvice,
    /// What went wrong, in one sentence.
    pub message: &'static str,
    /// What the caller can do about it.
    pub hint: &'static str,
}

const fn row(
    kind: ErrorKind,
    status: u16,
    retry: RetryAdvice,
    message: &'static str,
    hint: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        kind,
        status,
        retry,
        message,
        hint,
    }
}

/// The response to each error kind, in the order of the variants of [`ErrorKind`].
pub const ERROR_TABLE: &[ErrorResponse] = &[
    row(
        ErrorKind::MalformedRequest,
        400,
        RetryAdvice::Never,
        "the body is not a valid request",
        "check the body against the API description",
    ),
    row(
        ErrorKind::BodyTooLarge,
        413,
        RetryAdvice::Never,
        "the body is too long",
        "send a shorter prompt",
    ),
    row(
        ErrorKind::HeadersTooLarge,
        431,
        RetryAdvice::Never,
        "the headers are too long",
        "send fewer or shorter headers",
    ),
    row(
        ErrorKind::BodyTimeout,
        408,
        RetryAdvice::OtherAddress,
        "the body did not arrive in time",
        "send the body without long breaks",
    ),
    row(
        ErrorKind::MissingKey,
        401,
        RetryAdvice::Never,
        "the request carries no key",
        "send `Authorization: Bearer KEY`",
    ),
    row(
        ErrorKind::InvalidKey,
        401,
        RetryAdvice::Never,
        "the key is not valid",
        "ask the operator of your team for a key",
    ),
    row(
        ErrorKind::KeyWithdrawn,
        401,
        RetryAdvice::Never,
        "the key was withdrawn",
        "ask the operator of your team for a new key",
    ),
    row(
        ErrorKind::NotYourAdapter,
        403,
        RetryAdvice::Never,
        "the adapter or service belongs to another team",
        "use an adapter of the team that the key belongs to",
    ),
    row(
        ErrorKind::UnknownModel,
        404,
        RetryAdvice::Never,
        "no such model or adapter is in service",
        "name the model as BASE or BASE:ADAPTER",
    ),
    row(
        ErrorKind::UnknownService,
        404,
        RetryAdvice::Never,
        "no such service",
        "check the name after /services/",
    ),
    row(
        ErrorKind::UnknownRoute,
        404,
        RetryAdvice::Never,
        "no such path, or the method does not fit it",
        "check method and path",
    ),
    row(
        ErrorKind::RateExceeded,
        429,
        RetryAdvice::AfterDelay,
        "the team has used up its rate and burst",
        "retry after the given delay",
    ),
    row(
        ErrorKind::RequestTooLarge,
        413,
        RetryAdvice::Never,
        "the request needs more tokens than the team's burst",
        "lower max_tokens or shorten the prompt",
    ),
    row(
        ErrorKind::QueueFull,
        503,
        RetryAdvice::AfterDelay,
        "the queue before the backend servers is full",
        "retry after the given delay",
    ),
    row(
        ErrorKind::NoServer,
        503,
        RetryAdvice::AfterDelay,
        "no backend server can take the request now",
        "retry after the given delay",
    ),
    row(
        ErrorKind::NotReady,
        503,
        RetryAdvice::OtherAddress,
        "the instance has just started and cannot admit requests yet",
        "use another address",
    ),
    row(
        ErrorKind::ShuttingDown,
        503,
        RetryAdvice::OtherAddress,
        "the instance is shutting down",
        "ask for addresses again",
    ),
    row(
        ErrorKind::DeadlineExceeded,
        504,
        RetryAdvice::IfIdempotent,
        "the deadline passed before an answer came",
        "allow more time, or retry if the call is idempotent",
    ),
    row(
        ErrorKind::ServerLost,
        502,
        RetryAdvice::IfIdempotent,
        "the backend server was lost before it answered",
        "retry only if the call is idempotent or its outcome is known",
    ),
    row(
        ErrorKind::ServerRefused,
        502,
        RetryAdvice::AfterDelay,
        "the backend server refused the request",
        "retry after the given delay",
    ),
    row(
        ErrorKind::AnswerBroken,
        502,
        RetryAdvice::IfIdempotent,
        "the answer broke off before its end",
        "discard the partial answer; retry if the call is idempotent",
    ),
    row(
        ErrorKind::IdempotencyKeyRequired,
        428,
        RetryAdvice::Never,
        "the call may not be repeated and carries no idempotency key",
        "get a key with POST /v1/idempotency-keys and send it to the instance that issued it",
    ),
    row(
        ErrorKind::IdempotencyKeyUsed,
        409,
        RetryAdvice::Never,
        "the idempotency key was used before",
        "find out what became of the first request before sending it with a new key",
    ),
    row(
        ErrorKind::IdempotencyKeyElsewhere,
        421,
        RetryAdvice::Never,
        "the idempotency key was issued by another instance, or by one that has restarted",
        "send it to the instance that issued it; if that is gone, find out the outcome first",
    ),
    row(
        ErrorKind::IdempotencyKeyExpired,
        410,
        RetryAdvice::Never,
        "the idempotency key is too old",
        "find out the outcome of earlier requests, then get a new key",
    ),
    row(
        ErrorKind::InternalFault,
        500,
        RetryAdvice::IfIdempotent,
        "the instance met a fault of its own",
        "report the request id to the operators",
    ),
];

impl ErrorKind {
    /// The row of [`ERROR_TABLE`] for this kind.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_TABLE[self as usize]
    }

    /// Name of the kind in responses.
    pub fn name(self) -> SmolStr {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name.into(),
            _ => SmolStr::default(),
        }
    }
}

/// Body of every error response.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Why the request was refused.
    pub kind: ErrorKind,
    /// Whether the request may have run.
    pub run: RunState,
    /// Advice on retries.
    pub retry: RetryAdvice,
    /// Delay before a retry; serialized in milliseconds.
    #[serde(rename = "retry_after_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
    /// What went wrong, in one sentence.
    pub message: SmolStr,
    /// What the caller can do about it.
    pub hint: SmolStr,
}

impl RefusalBody {
    /// Creates the body from the kind's row of [`ERROR_TABLE`].
    pub fn new(kind: ErrorKind, run: RunState, retry_after: Option<Duration>) -> RefusalBody {
        let response = kind.response();
        RefusalBody {
            kind,
            run,
            retry: response.retry,
            retry_after,
            message: response.message.into(),
            hint: response.hint.into(),
        }
    }
}

/// Renders [`ERROR_TABLE`] as a Markdown table for docs/errors.md.
pub fn error_table_markdown() -> String {
    let mut text = String::from(
        "| kind | status | retry | what went wrong | hint |\n| --- | --- | --- | --- | --- |\n",
    );
    for response in ERROR_TABLE {
        let retry = serde_json::to_value(response.retry).unwrap_or_default();
        text.push_str(&format!(
            "| `{}` | {} | {} | {} | {} |\n",
            response.kind.name(),
            response.status,
            retry.as_str().unwrap_or_default(),
            response.message,
            response.hint,
        ));
    }
    text
}
