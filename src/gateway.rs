//! Handles callers' requests: resolves the customer and service, admits the request, runs it and
//! responds.

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use uuid::Uuid;

use crate::admission::{AdmissionPermit, AdmissionRequest, AdmissionService};
use crate::callers::CallerHandler;
use crate::chat::{self, AnswerChecksum, ChatMetadata, ChatRequest};
use crate::clock::unix_now;
use crate::codes::ResultCode;
use crate::config::CallerLimits;
use crate::driver::{AnswerDriver, AnswerRequest, AnswerResult};
use crate::effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
use crate::endpoint::PlainCall;
use crate::fleet::EndpointFleet;
use crate::intake::{self, PlainTarget};
use crate::keys::KeyIndex;
use crate::metrics::{MetricName, MetricRegistry};
use crate::outcome::CallOutcome;
use crate::permit::{PermitIssuer, QuotaPermit};
use crate::plain::{IDEMPOTENCY_HEADER, PlainContext, PlainDriver, PlainRequest, PlainResult};
use crate::refusal::{CallRefusal, ResponseBody, full_body};
use crate::retries::RetryBudgets;
use crate::streaming::{AnswerStream, stream_body};

/// Request headers that are forwarded to a plain service.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "accept", IDEMPOTENCY_HEADER];
/// Minimum of the timeout for an attempt's first token.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay given to callers until this host has a configuration.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the configuration in force, if there is one.
pub(crate) type CurrentConfig = Rc<dyn Fn() -> Option<Rc<EffectiveConfig>>>;

/// Components that a gateway uses.
pub(crate) struct GatewayDependencies {
    pub(crate) config: CurrentConfig,
    pub(crate) admission: AdmissionService,
    pub(crate) permit_issuer: PermitIssuer,
    pub(crate) retries: RetryBudgets,
    pub(crate) answers: AnswerDriver,
    pub(crate) plain: PlainDriver,
    pub(crate) fleet: EndpointFleet,
    pub(crate) metrics: Rc<MetricRegistry>,
    pub(crate) limits: CallerLimits,
}

/// Handles callers' requests.
pub(crate) struct RequestGateway {
    dependencies: GatewayDependencies,
    keys: RefCell<Rc<KeyIndex>>,
    open_requests: Cell<u64>,
}

/// Admission and quota permits, held while a request runs.
struct RequestPermits {
    _admission: AdmissionPermit,
    _quota: QuotaPermit,
}

/// Customer, service and deadline of a request.
struct ResolvedRequest<'a> {
    customer: &'a EffectiveCustomer,
    service: &'a EffectiveService,
    deadline: Instant,
}

/// A running answer: a channel for its tokens and one for its result.
struct RunningAnswer {
    tokens: mpsc::Receiver<u64>,
    result: oneshot::Receiver<AnswerResult>,
}

type CallResult = Result<Response<ResponseBody>, CallRefusal>;

impl CallerHandler for RequestGateway {
    fn handle(&self, request: Request<Incoming>) -> LocalBoxFuture<'_, Response<ResponseBody>> {
        self.respond(request).boxed_local()
    }
}

impl RequestGateway {
    /// Creates a gateway from its components.
    pub(crate) fn new(dependencies: GatewayDependencies) -> Self {
        Self { dependencies, keys: RefCell::default(), open_requests: Cell::new(0) }
    }

    /// Number of requests whose response has not started.
    pub(crate) fn open_requests(&self) -> u64 {
        self.open_requests.get()
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        self.open_requests.set(self.open_requests.get() + 1);
        self.dependencies.metrics.add(MetricName::OpenRequests, &[], 1);
        let result = self.dispatch(request).await;
        self.open_requests.set(self.open_requests.get() - 1);
        self.dependencies.metrics.add(MetricName::OpenRequests, &[], -1);
        result.unwrap_or_else(|refusal| {
            self.dependencies.metrics.count(MetricName::Refusals, &[refusal.code.name()]);
            refusal.response()
        })
    }

    async fn dispatch(&self, request: Request<Incoming>) -> CallResult {
        let Some(config) = (self.dependencies.config)() else {
            let detail = "The host waits for its first configuration.";
            return Err(CallRefusal::not_run(ResultCode::NotReady, detail)
                .with_retry_after(NOT_READY_RETRY_DELAY));
        };
        let keys = self.key_index(&config);
        let (head, incoming) = request.into_parts();
        let customer = intake::find_customer(&config, &keys, &head.headers)?;
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/v1/models") => Ok(list_models(&config, customer)),
            (&Method::POST, "/v1/chat/completions") => {
                let body = intake::read_body(incoming, &self.dependencies.limits).await?;
                self.complete_chat(&config, customer, &head.headers, &body).await
            }
            (method, "/v1/models" | "/v1/chat/completions") => {
                let detail = format!("Method {method}.");
                Err(CallRefusal::not_run(ResultCode::MethodNotAllowed, detail))
            }
            (method, path) => {
                let target = intake::find_plain_target(&config, path).ok_or_else(|| {
                    CallRefusal::not_run(ResultCode::UnknownPath, format!("Path {path:?}."))
                })?;
                intake::check_access(customer, target.service)?;
                let body = intake::read_body(incoming, &self.dependencies.limits).await?;
                let path_and_query = match head.uri.query() {
                    Some(query) => format!("{}?{query}", target.relative_path).into(),
                    None => target.relative_path.clone(),
                };
                let call = PlainCall {
                    method: method.as_str().into(),
                    path: path_and_query,
                    headers: forwarded_headers(&head.headers),
                    body: body.to_vec().into(),
                    timeout: target.service.deadline,
                };
                self.call_plain(customer, &target, &head.headers, call).await
            }
        }
    }

    async fn complete_chat(
        &self,
        config: &EffectiveConfig,
        customer: &EffectiveCustomer,
        headers: &HeaderMap,
        body: &[u8],
    ) -> CallResult {
        let request = ChatRequest::parse(body)
            .map_err(|problem| CallRefusal::not_run(ResultCode::MalformedRequest, problem))?;
        let service = intake::find_model_service(config, customer, &request.model)?;
        let ServiceTarget::Model(model) = &service.target else {
            return Err(CallRefusal::not_run(ResultCode::UnknownModel, ""));
        };
        let deadline = intake::resolve_deadline(headers, service, Instant::now())?;
        let permits = self.admit(&ResolvedRequest { customer, service, deadline }).await?;
        let answer_request = AnswerRequest {
            request: Uuid::new_v4().to_string().into(),
            model: Rc::new(model.clone()),
            prompt: request.prompt(),
            max_tokens: request.length(service.max_tokens),
            priority: service.priority,
            deadline,
            token_gap: service.token_gap,
            first_token_timeout: service.token_gap.max(MIN_FIRST_TOKEN_TIMEOUT),
        };
        let metadata = ChatMetadata {
            id: format!("chatcmpl-{}", answer_request.request).into(),
            model: request.model.clone(),
            created: unix_now().as_secs(),
        };
        let prompt = answer_request.prompt.clone();
        let answer = self.start_answer(answer_request, customer, service, permits);
        if request.stream {
            return self.stream_answer(answer, metadata, service).await;
        }
        self.collect_answer(answer, &metadata, &prompt, service).await
    }

    fn start_answer(
        &self,
        request: AnswerRequest,
        customer: &EffectiveCustomer,
        service: &EffectiveService,
        permits: RequestPermits,
    ) -> RunningAnswer {
        // Capacity for every token, so that a slow reader never blocks an engine.
        let (sink, tokens) = mpsc::channel(request.max_tokens.max(1) as usize);
        let (result_sender, result) = oneshot::channel();
        let driver = self.dependencies.answers.clone();
        let retry = self.dependencies.retries.answer_retry(&customer.name, &service.name);
        tokio::task::spawn_local(async move {
            let result = driver.run(request, sink, &*retry).await;
            drop(permits);
            let _ = result_sender.send(result);
        });
        RunningAnswer { tokens, result }
    }

    /// Starts the stream at the first token, so that an earlier refusal still sets the HTTP status.
    async fn stream_answer(
        &self,
        mut answer: RunningAnswer,
        metadata: ChatMetadata,
        service: &EffectiveService,
    ) -> CallResult {
        let Some(first) = answer.tokens.recv().await else {
            return self.finish_without_tokens(answer, service).await;
        };
        let stream = AnswerStream {
            metadata,
            first,
            tokens: answer.tokens,
            result: answer.result,
            service: service.name.clone(),
            metrics: self.dependencies.metrics.clone(),
        };
        let mut response = Response::new(stream_body(stream));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert("cache-control", HeaderValue::from_static("no-cache"));
        Ok(response)
    }

    async fn collect_answer(
        &self,
        mut answer: RunningAnswer,
        metadata: &ChatMetadata,
        prompt: &str,
        service: &EffectiveService,
    ) -> CallResult {
        let mut tokens = Vec::new();
        while let Some(token) = answer.tokens.recv().await {
            tokens.push(token);
        }
        let checksum = self.finish_answer(answer.result.await.ok(), service)?;
        Ok(json_response(StatusCode::OK, metadata.completion(prompt, &tokens, &checksum)))
    }

    async fn finish_without_tokens(
        &self,
        answer: RunningAnswer,
        service: &EffectiveService,
    ) -> CallResult {
        self.finish_answer(answer.result.await.ok(), service)?;
        Err(CallRefusal::not_run(ResultCode::AnswerTruncated, "The answer has no token."))
    }

    fn finish_answer(
        &self,
        result: Option<AnswerResult>,
        service: &EffectiveService,
    ) -> Result<AnswerChecksum, CallRefusal> {
        let checksum = answer_checksum(result, &service.name);
        let outcome =
            checksum.as_ref().map_or_else(|refusal| refusal.outcome, |_| CallOutcome::Done);
        self.count_request(service, outcome);
        checksum
    }

    async fn call_plain(
        &self,
        customer: &EffectiveCustomer,
        target: &PlainTarget<'_>,
        headers: &HeaderMap,
        call: PlainCall,
    ) -> CallResult {
        let service = target.service;
        let deadline = intake::resolve_deadline(headers, service, Instant::now())?;
        let is_idempotent = intake::is_idempotent(target.plain, &call.method, &call.path);
        let key = headers.get(IDEMPOTENCY_HEADER).and_then(|value| value.to_str().ok());
        let request = PlainRequest {
            service: service.name.clone(),
            customer: customer.name.clone(),
            is_idempotent,
            key: key.map(Box::from),
            call,
            deadline,
            unix_now: unix_now(),
        };
        let _permits = self.admit(&ResolvedRequest { customer, service, deadline }).await?;
        let context = PlainContext {
            picker: Rc::new(self.dependencies.fleet.plain_picker(&service.name)),
            may_retry: self.dependencies.retries.plain_retry(&customer.name, &service.name),
        };
        let result = self.dependencies.plain.run(request, context).await;
        self.count_request(service, result.outcome);
        plain_response(result, service)
    }

    async fn admit(&self, resolved: &ResolvedRequest<'_>) -> Result<RequestPermits, CallRefusal> {
        let quota =
            self.dependencies.permit_issuer.take(&resolved.customer.name).map_err(|wait| {
                let detail = format!("Customer {:?}.", resolved.customer.name);
                CallRefusal::not_run(ResultCode::CustomerLimit, detail).with_retry_after(wait)
            })?;
        let request = AdmissionRequest {
            service: resolved.service.name.clone(),
            customer: resolved.customer.name.clone(),
            share: resolved.customer.share,
            priority: resolved.service.priority,
            deadline: resolved.deadline,
            queue_length: resolved.service.queue_length,
        };
        let admission = self.dependencies.admission.admit(request).await.map_err(|refusal| {
            let detail = format!("Service {:?}.", resolved.service.name);
            CallRefusal::not_run(refusal.code, detail).with_retry_after(refusal.retry_after)
        })?;
        Ok(RequestPermits { _admission: admission, _quota: quota })
    }

    fn count_request(&self, service: &EffectiveService, outcome: CallOutcome) {
        self.dependencies.metrics.count(MetricName::Requests, &[&service.name, outcome.as_str()]);
    }

    fn key_index(&self, config: &EffectiveConfig) -> Rc<KeyIndex> {
        let mut keys = self.keys.borrow_mut();
        if keys.revision() != config.revision {
            *keys = Rc::new(KeyIndex::new(config));
        }
        keys.clone()
    }
}

/// Length and digest of a complete answer, or the refusal of an incomplete one.
pub(crate) fn answer_checksum(
    result: Option<AnswerResult>,
    service: &str,
) -> Result<AnswerChecksum, CallRefusal> {
    let detail: Box<str> = format!("Service {service:?}.").into();
    match result {
        Some(AnswerResult::Done { tokens, digest }) => {
            Ok(AnswerChecksum { length: tokens, digest })
        }
        Some(AnswerResult::Refused { code, retry_after, outcome }) => {
            Err(CallRefusal { code, outcome, retry_after: Some(retry_after), detail })
        }
        Some(AnswerResult::Cancelled) | None => Err(CallRefusal {
            code: ResultCode::AnswerTruncated,
            outcome: CallOutcome::Unknown,
            retry_after: None,
            detail,
        }),
    }
}

fn plain_response(result: PlainResult, service: &EffectiveService) -> CallResult {
    let Some(reply) = result.reply else {
        return Err(CallRefusal {
            code: result.code.unwrap_or(ResultCode::EndpointFailed),
            outcome: result.outcome,
            retry_after: result.retry_after,
            detail: format!("Service {:?}.", service.name).into(),
        });
    };
    let mut response = Response::new(full_body(reply.body.into_vec()));
    *response.status_mut() =
        StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Ok(value) = HeaderValue::from_str(&reply.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    Ok(response)
}

fn list_models(config: &EffectiveConfig, customer: &EffectiveCustomer) -> Response<ResponseBody> {
    let models = config.services.values().filter(|service| {
        matches!(service.target, ServiceTarget::Model(_))
            && customer.services.contains(&service.name)
    });
    json_response(StatusCode::OK, chat::model_list(models.map(|service| &*service.name)))
}

fn json_response(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn forwarded_headers(headers: &HeaderMap) -> Vec<(Box<str>, Box<str>)> {
    let forwarded = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some((name.into(), value.into()))
    };
    FORWARDED_HEADERS.iter().filter_map(|name| forwarded(name)).collect()
}
