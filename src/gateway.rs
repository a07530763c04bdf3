//! Answers callers' requests: finds the customer and the service, admits, runs, replies.

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
use crate::chat::{self, AnswerSeal, ChatLabel, ChatRequest};
use crate::clock::unix_now;
use crate::codes::ResultCode;
use crate::config::CallerLimits;
use crate::counters::{CounterRegistry, MetricName};
use crate::driver::{AnswerDriver, AnswerRequest, AnswerResult};
use crate::effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
use crate::endpoint::PlainCall;
use crate::fleet::EndpointFleet;
use crate::intake::{self, PlainTarget};
use crate::keys::KeyIndex;
use crate::outcome::CallOutcome;
use crate::plain::{PlainContext, PlainDriver, PlainRequest, PlainResult};
use crate::quotas::{PermitIssuer, QuotaPermit};
use crate::refusal::{AnswerBody, CallRefusal, full_body};
use crate::retries::RetryBudgets;
use crate::streaming::{AnswerStream, stream_body};

/// Header that names a non-idempotent call.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Headers that a plain service receives.
const PASSED_HEADERS: [&str; 3] = ["content-type", "accept", IDEMPOTENCY_HEADER];
/// Shortest time that an attempt may take until its first token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time until a host that has no configuration yet may have one.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// Configuration in force, if there is one.
pub(crate) type ConfigSource = Rc<dyn Fn() -> Option<Rc<EffectiveConfig>>>;

/// Parts that a gateway joins.
pub(crate) struct GatewayDependencies {
    pub(crate) config: ConfigSource,
    pub(crate) admission: AdmissionService,
    pub(crate) quotas: PermitIssuer,
    pub(crate) retries: RetryBudgets,
    pub(crate) answers: AnswerDriver,
    pub(crate) plain: PlainDriver,
    pub(crate) fleet: EndpointFleet,
    pub(crate) counters: Rc<CounterRegistry>,
    pub(crate) limits: CallerLimits,
}

/// Answers callers' requests.
pub(crate) struct RequestGateway {
    parts: GatewayDependencies,
    keys: RefCell<Rc<KeyIndex>>,
    open: Cell<u64>,
}

/// What holds a request's place for as long as it runs.
struct RequestPass {
    _admission: AdmissionPermit,
    _quota: QuotaPermit,
}

/// A request with what it was found to ask for.
struct ServiceCall<'a> {
    customer: &'a EffectiveCustomer,
    service: &'a EffectiveService,
    deadline: Instant,
}

/// An answer that has begun: its tokens as they come, then its end.
struct RunningAnswer {
    tokens: mpsc::Receiver<u64>,
    end: oneshot::Receiver<AnswerResult>,
}

type CallResult = Result<Response<AnswerBody>, CallRefusal>;

impl CallerHandler for RequestGateway {
    fn handle(&self, request: Request<Incoming>) -> LocalBoxFuture<'_, Response<AnswerBody>> {
        self.answer(request).boxed_local()
    }
}

impl RequestGateway {
    /// Joins the parts.
    pub(crate) fn new(parts: GatewayDependencies) -> Self {
        Self { parts, keys: RefCell::default(), open: Cell::new(0) }
    }

    /// Requests whose response has not begun.
    pub(crate) fn open_requests(&self) -> u64 {
        self.open.get()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        self.open.set(self.open.get() + 1);
        self.parts.counters.add(MetricName::OpenRequests, &[], 1);
        let result = self.dispatch(request).await;
        self.open.set(self.open.get() - 1);
        self.parts.counters.add(MetricName::OpenRequests, &[], -1);
        result.unwrap_or_else(|refusal| {
            self.parts.counters.count(MetricName::Refusals, &[refusal.code.name()]);
            refusal.response()
        })
    }

    async fn dispatch(&self, request: Request<Incoming>) -> CallResult {
        let Some(config) = (self.parts.config)() else {
            let detail = "The host waits for its first configuration.";
            return Err(
                CallRefusal::not_run(ResultCode::NotReady, detail).retry_after(NOT_READY_RETRY)
            );
        };
        let keys = self.key_index(&config);
        let (head, incoming) = request.into_parts();
        let customer = intake::customer(&config, &keys, &head.headers)?;
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/v1/models") => Ok(models(&config, customer)),
            (&Method::POST, "/v1/chat/completions") => {
                let body = intake::body(incoming, &self.parts.limits).await?;
                self.chat(&config, customer, &head.headers, &body).await
            }
            (method, "/v1/models" | "/v1/chat/completions") => {
                let detail = format!("Method {method}.");
                Err(CallRefusal::not_run(ResultCode::MethodNotAllowed, detail))
            }
            (method, path) => {
                let target = intake::plain_target(&config, path).ok_or_else(|| {
                    CallRefusal::not_run(ResultCode::UnknownPath, format!("Path {path:?}."))
                })?;
                intake::check_access(customer, target.service)?;
                let body = intake::body(incoming, &self.parts.limits).await?;
                let rest = match head.uri.query() {
                    Some(query) => format!("{}?{query}", target.rest).into(),
                    None => target.rest.clone(),
                };
                let call = PlainCall {
                    method: method.as_str().into(),
                    path: rest,
                    headers: passed_headers(&head.headers),
                    body: body.to_vec().into(),
                    timeout: target.service.deadline,
                };
                self.plain(customer, &target, &head.headers, call).await
            }
        }
    }

    async fn chat(
        &self,
        config: &EffectiveConfig,
        customer: &EffectiveCustomer,
        headers: &HeaderMap,
        body: &[u8],
    ) -> CallResult {
        let request = ChatRequest::parse(body)
            .map_err(|problem| CallRefusal::not_run(ResultCode::MalformedRequest, problem))?;
        let service = intake::model_service(config, customer, &request.model)?;
        let ServiceTarget::Model(model) = &service.target else {
            return Err(CallRefusal::not_run(ResultCode::UnknownModel, ""));
        };
        let deadline = intake::deadline(headers, service, Instant::now())?;
        let pass = self.admit(&ServiceCall { customer, service, deadline }).await?;
        let order = AnswerRequest {
            request: Uuid::new_v4().to_string().into(),
            model: Rc::new(model.clone()),
            prompt: request.prompt(),
            max_tokens: request.length(service.max_tokens),
            priority: service.priority,
            deadline,
            token_gap: service.token_gap,
            first_token_timeout: service.token_gap.max(FIRST_TOKEN_TIMEOUT),
        };
        let label = ChatLabel {
            id: format!("chatcmpl-{}", order.request).into(),
            model: request.model.clone(),
            created: unix_now().as_secs(),
        };
        let prompt = order.prompt.clone();
        let answer = self.start_answer(order, customer, service, pass);
        if request.stream {
            return self.stream(answer, label, service).await;
        }
        self.whole(answer, &label, &prompt, service).await
    }

    fn start_answer(
        &self,
        order: AnswerRequest,
        customer: &EffectiveCustomer,
        service: &EffectiveService,
        pass: RequestPass,
    ) -> RunningAnswer {
        // Room for every token, so that a slow reader never holds an engine back.
        let (sink, tokens) = mpsc::channel(order.max_tokens.max(1) as usize);
        let (ended, end) = oneshot::channel();
        let driver = self.parts.answers.clone();
        let retry = self.parts.retries.answer_retry(&customer.name, &service.name);
        tokio::task::spawn_local(async move {
            let result = driver.run(order, sink, &*retry).await;
            drop(pass);
            let _ = ended.send(result);
        });
        RunningAnswer { tokens, end }
    }

    /// Starts a stream once its first token is there, so that a refusal still has its status.
    async fn stream(
        &self,
        mut answer: RunningAnswer,
        label: ChatLabel,
        service: &EffectiveService,
    ) -> CallResult {
        let Some(first) = answer.tokens.recv().await else {
            return self.end_without_tokens(answer, service).await;
        };
        let stream = AnswerStream {
            label,
            first,
            tokens: answer.tokens,
            end: answer.end,
            service: service.name.clone(),
            counters: self.parts.counters.clone(),
        };
        let mut response = Response::new(stream_body(stream));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert("cache-control", HeaderValue::from_static("no-cache"));
        Ok(response)
    }

    async fn whole(
        &self,
        mut answer: RunningAnswer,
        label: &ChatLabel,
        prompt: &str,
        service: &EffectiveService,
    ) -> CallResult {
        let mut tokens = Vec::new();
        while let Some(token) = answer.tokens.recv().await {
            tokens.push(token);
        }
        let seal = self.seal(answer.end.await.ok(), service)?;
        Ok(json(StatusCode::OK, label.whole(prompt, &tokens, &seal)))
    }

    async fn end_without_tokens(
        &self,
        answer: RunningAnswer,
        service: &EffectiveService,
    ) -> CallResult {
        self.seal(answer.end.await.ok(), service)?;
        Err(CallRefusal::not_run(ResultCode::AnswerTruncated, "The answer has no token."))
    }

    fn seal(
        &self,
        result: Option<AnswerResult>,
        service: &EffectiveService,
    ) -> Result<AnswerSeal, CallRefusal> {
        let sealed = seal_of(result, &service.name);
        let outcome = sealed.as_ref().map_or_else(|refusal| refusal.outcome, |_| CallOutcome::Done);
        self.count_request(service, outcome);
        sealed
    }

    async fn plain(
        &self,
        customer: &EffectiveCustomer,
        target: &PlainTarget<'_>,
        headers: &HeaderMap,
        call: PlainCall,
    ) -> CallResult {
        let service = target.service;
        let deadline = intake::deadline(headers, service, Instant::now())?;
        let idempotent = intake::is_idempotent(target.plain, &call.method, &call.path);
        let key = headers.get(IDEMPOTENCY_HEADER).and_then(|value| value.to_str().ok());
        let request = PlainRequest {
            service: service.name.clone(),
            customer: customer.name.clone(),
            idempotent,
            key: key.map(Box::from),
            call,
            deadline,
            unix_now: unix_now(),
        };
        let _pass = self.admit(&ServiceCall { customer, service, deadline }).await?;
        let context = PlainContext {
            picker: Rc::new(self.parts.fleet.plain_picker(&service.name)),
            may_retry: self.parts.retries.plain_retry(&customer.name, &service.name),
        };
        let result = self.parts.plain.run(request, context).await;
        self.count_request(service, result.outcome);
        plain_response(result, service)
    }

    async fn admit(&self, call: &ServiceCall<'_>) -> Result<RequestPass, CallRefusal> {
        let quota = self.parts.quotas.take(&call.customer.name).map_err(|wait| {
            let detail = format!("Customer {:?}.", call.customer.name);
            CallRefusal::not_run(ResultCode::CustomerLimit, detail).retry_after(wait)
        })?;
        let request = AdmissionRequest {
            service: call.service.name.clone(),
            customer: call.customer.name.clone(),
            share: call.customer.share,
            priority: call.service.priority,
            deadline: call.deadline,
            queue_length: call.service.queue_length,
        };
        let admission = self.parts.admission.admit(request).await.map_err(|refusal| {
            let detail = format!("Service {:?}.", call.service.name);
            CallRefusal::not_run(refusal.code, detail).retry_after(refusal.retry_after)
        })?;
        Ok(RequestPass { _admission: admission, _quota: quota })
    }

    fn count_request(&self, service: &EffectiveService, outcome: CallOutcome) {
        self.parts.counters.count(MetricName::Requests, &[&service.name, outcome.as_str()]);
    }

    fn key_index(&self, config: &EffectiveConfig) -> Rc<KeyIndex> {
        let mut keys = self.keys.borrow_mut();
        if keys.revision() != config.revision {
            *keys = Rc::new(KeyIndex::new(config));
        }
        keys.clone()
    }
}

/// The end of an answer: its seal, or why there is none.
pub(crate) fn seal_of(
    result: Option<AnswerResult>,
    service: &str,
) -> Result<AnswerSeal, CallRefusal> {
    let detail: Box<str> = format!("Service {service:?}.").into();
    match result {
        Some(AnswerResult::Done { tokens, digest }) => Ok(AnswerSeal { length: tokens, digest }),
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

fn models(config: &EffectiveConfig, customer: &EffectiveCustomer) -> Response<AnswerBody> {
    let callable = config.services.values().filter(|service| {
        matches!(service.target, ServiceTarget::Model(_))
            && customer.services.contains(&service.name)
    });
    json(StatusCode::OK, chat::model_list(callable.map(|service| &*service.name)))
}

fn json(status: StatusCode, body: Vec<u8>) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn passed_headers(headers: &HeaderMap) -> Vec<(Box<str>, Box<str>)> {
    let passed = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some((name.into(), value.into()))
    };
    PASSED_HEADERS.iter().filter_map(|name| passed(name)).collect()
}
