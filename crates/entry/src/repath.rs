//! Moves running streams to other paths.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use jacinthrock::MetricName;
use tokio::time::Instant;

use crate::call::AllowedCall;
use crate::flights::StreamFlight;
use crate::orders::post_order;
use crate::path::crossings;
use crate::state::{EntryState, PathDemand};

/// Time for the answer to the order: endpoints answer within some ms, and a caller leaves after two
/// seconds of silence, some of which are over.
const REPATH_TIMEOUT: Duration = Duration::from_millis(300);
/// Orders for one fault: each further one avoids an endpoint that had no room.
const MAX_ORDERS: u32 = 4;

/// Replaces the lost stages of a running stream; returns whether it goes on.
///
/// Nothing is sent again, so that it takes no retry.
pub(crate) async fn repath(
    state: &Rc<EntryState>,
    call: &AllowedCall,
    flight: &StreamFlight,
    tokens: u32,
) -> bool {
    let mut avoid = BTreeSet::new();
    for _ in 0..MAX_ORDERS {
        let old = flight.record().path();
        let demand = PathDemand { service: &call.service, tokens, starts: None, avoid: &avoid };
        let Some(path) = state.find_detour(&old, &demand) else { return false };
        let Some(first) = state.endpoint(&path[0].name) else { return false };
        let order = state.dialect.repath_order(&call.head.attempt, &path);
        let reply = post_order(state, &first, order, REPATH_TIMEOUT).await;
        let label = match &reply {
            Ok(reply) if reply.status.is_success() => "repath_accepted",
            Ok(_) => "repath_refused",
            Err(_) => "repath_unanswered",
        };
        state.counters.count(MetricName::Orders, &[label]);
        let status = reply.as_ref().map_or(0, |reply| reply.status.as_u16());
        let at = reply.as_ref().ok().and_then(|reply| reply.fault_at);
        let culprit = at.and_then(|address| state.endpoint_at(address));
        let blamed = culprit.as_ref().and_then(|name| state.endpoint(name));
        let fill = blamed.and_then(|entry| state.known_fill(&entry));
        let new = path.iter().filter(|stage| !old.contains(stage)).map(|stage| {
            let fill = state.endpoint(&stage.name).and_then(|entry| state.known_fill(&entry));
            let held = state.endpoint(&stage.name).and_then(|entry| entry.layers);
            (&*stage.name, stage.span.from, stage.span.to, held, fill)
        });
        let new: Vec<_> = new.collect();
        log::info!(
            event = "repath", attempt = &*call.head.attempt, endpoint = &*first.name, status,
            new:? = new, at:? = at, fill:? = fill,
            error:? = reply.as_ref().err().map(ToString::to_string);
            "order to move a running stream"
        );
        match reply {
            Ok(reply) if reply.status.is_success() => {
                state.crossings_taken(crossings(&path).saturating_sub(crossings(&old)));
                flight.reroute(path.into(), Instant::now());
                return true;
            }
            Ok(reply) if reply.status == StatusCode::CONFLICT => {
                let Some(culprit) = culprit else { return false };
                state.mark_crowded(&culprit);
                if !avoid.insert(culprit) {
                    return false;
                }
            }
            _ => return false,
        }
    }
    false
}
