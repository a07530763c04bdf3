//! Sending orders to endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, StatusCode, Uri};

use crate::endpoints::EndpointEntry;
use crate::pool::{SendError, SendOptions, build_request, host_header};
use crate::sending::{fetch, note_reply};
use crate::state::EntryState;

/// Idle time after which a connection is not reused for an order.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// An endpoint's reply to an order.
pub(crate) struct OrderReply {
    /// Status code of the reply.
    pub(crate) status: StatusCode,
    /// Address of the endpoint that prevents the order, if the reply names one.
    pub(crate) fault_at: Option<SocketAddr>,
}

/// Sends an order to an endpoint and waits for its reply.
pub(crate) async fn post_order(
    state: &EntryState,
    entry: &EndpointEntry,
    body: Vec<u8>,
    limit: Duration,
) -> Result<OrderReply, SendError> {
    let uri = Uri::from_static(state.codec.order_path());
    let mut request = build_request(Method::POST, uri, host_header(entry.address), body);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    state.codec.expect_endpoint(request.headers_mut(), &entry.name);
    let options = SendOptions::within(limit, MAX_IDLE);
    let (parts, body) = fetch(state, "order", entry.address, request, options).await?;
    if parts.status != StatusCode::MISDIRECTED_REQUEST {
        note_reply(state, entry, parts.status, &state.codec.read_reply("", &parts.headers));
    }
    Ok(OrderReply { status: parts.status, fault_at: state.codec.read_order_fault(&body) })
}
