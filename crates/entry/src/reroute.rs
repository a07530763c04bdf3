//! Moves running streams to other paths by sending `repath` orders to their first stage.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jacinthrock::{EndpointName, MetricName};
use tokio::time::Instant;

use crate::call::AllowedCall;
use crate::inflight::StreamGuard;
use crate::orders::{OrderReply, post_order};
use crate::path::{PathStage, added_crossings, crossings, stage_at};
use crate::pool::SendError;
use crate::routing::PathQuery;
use crate::state::EntryState;

/// Timeout of an order. Endpoints answer within a few ms, and callers give up after two seconds of
/// silence, part of which has already passed.
const REPATH_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum orders per fault; each further one avoids an endpoint that had no room.
const MAX_ORDERS: u32 = 4;

/// An order to move a stream, as logged and counted.
struct RepathOrder<'a> {
    call: &'a AllowedCall,
    old: &'a [PathStage],
    new: &'a [PathStage],
    /// Stage that had no room or could not be reached.
    culprit: Option<&'a EndpointName>,
}

impl RepathOrder<'_> {
    fn record(&self, state: &EntryState, reply: &Result<OrderReply, SendError>) {
        let label = match reply {
            Ok(reply) if reply.status.is_success() => "repath_accepted",
            Ok(_) => "repath_refused",
            Err(_) => "repath_unanswered",
        };
        state.metrics.count(MetricName::Orders, &[label]);
        let added = self.new.iter().filter(|stage| !self.old.contains(stage));
        let added: Vec<_> = added.map(|s| (&*s.name, s.span.from, s.span.to)).collect();
        let culprit = self.culprit.and_then(|name| state.endpoint(name));
        log::info!(
            event = "repath", attempt = &*self.call.head.attempt, endpoint = &*self.new[0].name,
            status = reply.as_ref().map_or(0, |reply| reply.status.as_u16()), added:? = added,
            culprit:? = self.culprit,
            fill:? = culprit.and_then(|entry| state.known_kv_usage(&entry)),
            error:? = reply.as_ref().err().map(ToString::to_string);
            "order to move a running stream"
        );
    }
}

/// Replaces the lost stages of a running stream; returns whether the stream continues.
///
/// The request is not resent, so this uses no retry.
pub(crate) async fn reroute(
    state: &Rc<EntryState>,
    call: &AllowedCall,
    guard: &StreamGuard,
) -> bool {
    let mut avoid = BTreeSet::new();
    let tokens = guard.record().tokens();
    for _ in 0..MAX_ORDERS {
        let old = guard.record().path();
        let query = PathQuery {
            service: &call.service,
            tokens,
            starts: None,
            avoid: &avoid,
            ignores_rates: true,
        };
        let Some(path) = state.find_detour(&old, &query) else { return false };
        let Some(first) = state.endpoint(&path[0].name) else { return false };
        // Debited before the reply, since the streams of a lost endpoint are moved at the same time.
        // Without a reply, the order may have taken effect and stays debited.
        let added = added_crossings(&path, &old);
        state.debit_crossings(&call.service, tokens, added);
        let order = state.codec.repath_order(&call.head.attempt, &path);
        let reply = post_order(state, &first, order, REPATH_TIMEOUT).await;
        let fault_at = reply.as_ref().ok().and_then(|reply| reply.fault_at);
        let culprit = fault_at.and_then(|address| stage_at(&path, address));
        let culprit = culprit.map(|stage| stage.name.clone());
        let sent = RepathOrder { call, old: &old, new: &path, culprit: culprit.as_ref() };
        sent.record(state, &reply);
        if reply.as_ref().is_ok_and(|reply| !reply.status.is_success()) {
            state.credit_crossings(&call.service, tokens, added);
        }
        match reply {
            Ok(reply) if reply.status.is_success() => {
                state.consume_crossings(crossings(&path).saturating_sub(crossings(&old)));
                guard.switch_path(path.into(), Instant::now());
                return true;
            }
            Ok(reply) if reply.status == StatusCode::CONFLICT => {
                let Some(culprit) = culprit else { return false };
                state.mark_overloaded(&culprit);
                if !avoid.insert(culprit) {
                    return false;
                }
            }
            _ => return false,
        }
    }
    false
}
