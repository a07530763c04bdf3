//! Interface for choosing the endpoint of a plain call.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::declaration::EndpointDeclaration;
use crate::endpoint::CallFailure;
use crate::ids::EndpointName;

/// Chooses endpoints of one service, based on the results of earlier calls.
pub trait EndpointPicker {
    /// Chooses an endpoint that is not in `tried`, if possible in a failure domain without tried
    /// endpoints.
    fn pick(&self, tried: &BTreeSet<EndpointName>) -> Option<EndpointDeclaration>;

    /// Records the start of a call to the endpoint.
    fn started(&self, endpoint: &str);

    /// Records the end of a call to the endpoint: its duration, and the failure if there is one.
    fn finished(&self, endpoint: &str, elapsed: Duration, failure: Option<&CallFailure>);
}
