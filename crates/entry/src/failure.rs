//! Failures of the sources of a stream.

use hyper::Response;

use crate::poison::BlamedSuspect;
use crate::response::ResponseBody;

/// Why a source ended before the end of the stream.
pub(crate) enum SourceFailure {
    /// The endpoint sent a reply that is not a stream, to be forwarded to the caller.
    Response(Box<Response<ResponseBody>>),
    /// The request has not run.
    NotRun(Box<str>),
    /// The request may have run.
    Unknown(Box<str>),
    /// No path has room, for the given reason.
    NoPath(Box<str>),
    /// The request or a part of its prompt crashes endpoints; it was not sent to another one.
    Poison(BlamedSuspect),
    /// The deadline of the request has passed.
    DeadlinePassed,
}
