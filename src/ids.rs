//! Aliases for the identifiers that cross module borders.

/// Name of an endpoint, unique in the declaration tree.
pub type EndpointName = Box<str>;

/// Name of a customer node in the declaration tree.
pub type CustomerName = Box<str>;

/// Name of a service node in the declaration tree.
pub type ServiceName = Box<str>;

/// Name of a host that runs the system's own processes.
pub type HostName = Box<str>;

/// Name of a failure domain: machines that can be cut off together.
pub type DomainName = Box<str>;

/// Identifier of one caller request, made by the router that accepted it.
pub type RequestId = Box<str>;

/// One run of a process on a host; a restarted process gets a higher one.
pub type Incarnation = u64;

/// Number of an attempt at one request, starting at 1.
pub type AttemptNumber = u32;

/// Index of a token in an answer, starting at 0.
pub type TokenPosition = u32;

/// Index of a model layer, starting at 0.
pub type LayerIndex = u16;

/// Version of an object on the platform; 0 means that it does not exist.
pub type ObjectVersion = u64;

/// Revision of the accepted configuration: the version of its root object.
pub type ConfigRevision = u64;

/// Fencing number of the controller's lease; a later holder has a higher one.
pub type FenceNumber = u64;
