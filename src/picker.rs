//! Choice of an endpoint for a plain call.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::declaration::EndpointDeclaration;
use crate::endpoint::CallFailure;
use crate::ids::EndpointName;

/// Chooses endpoints of one service and learns from how their calls ended.
pub trait EndpointPicker {
    /// Chooses an endpoint that is not in `tried`, in an untried failure domain if there is one.
    fn pick(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration>;

    /// Learns that a call to the endpoint was sent.
    fn started(&self, endpoint: &str);

    /// Learns how a call to the endpoint ended, and after how long.
    fn finished(&self, endpoint: &str, elapsed: Duration, failure: Option<&CallFailure>);
}
