//! Schema of a declaration: the table of fields used for parsing, validation and documentation.

use serde_json::Value;
use std::net::SocketAddr;

use crate::codes::ResultCode;

/// Maximum length of the name of a node, endpoint or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum length of free text, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Length of a SHA-256 digest in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Path prefix reserved for the router's own API.
const RESERVED_PREFIX: &str = "/v1";

/// Type of a field's value, with the range or choice of accepted values.
#[derive(Clone, Copy)]
pub(crate) enum ValueType {
    Name,
    NameList,
    Text,
    Address,
    Prefix,
    Path,
    Method,
    KeyHashList,
    Bool,
    Number(u64, u64),
    Choice(&'static [&'static str]),
    NamePair,
    Table(&'static [FieldRow]),
    TableList(&'static [FieldRow]),
}

/// Kind of service or customer to which a setting applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SettingUser {
    Model,
    Plain,
    Customer,
}

const SERVICES: &[SettingUser] = &[SettingUser::Model, SettingUser::Plain];
const MODELS: &[SettingUser] = &[SettingUser::Model];
const CUSTOMERS: &[SettingUser] = &[SettingUser::Customer];

/// One field of a declaration.
#[derive(Clone, Copy)]
pub(crate) struct FieldRow {
    pub(crate) name: &'static str,
    pub(crate) is_required: bool,
    pub(crate) value_type: ValueType,
    /// Default, used if neither the node nor an ancestor sets the field.
    pub(crate) default: Option<&'static str>,
    /// Services and customers that a setting has an effect on; empty for other fields.
    pub(crate) users: &'static [SettingUser],
    /// Whether a setting is an upper limit.
    pub(crate) is_limit: bool,
    pub(crate) help: &'static str,
}

impl FieldRow {
    const fn used_by(self, users: &'static [SettingUser]) -> Self {
        Self { users, ..self }
    }

    const fn limiting(self) -> Self {
        Self { is_limit: true, ..self }
    }
}

const fn required(name: &'static str, value_type: ValueType, help: &'static str) -> FieldRow {
    field(name, value_type, help, true)
}

const fn optional(name: &'static str, value_type: ValueType, help: &'static str) -> FieldRow {
    field(name, value_type, help, false)
}

const fn inherited(
    name: &'static str,
    value_type: ValueType,
    default: &'static str,
    help: &'static str,
) -> FieldRow {
    FieldRow { default: Some(default), ..field(name, value_type, help, false) }
}

const fn field(
    name: &'static str,
    value_type: ValueType,
    help: &'static str,
    is_required: bool,
) -> FieldRow {
    FieldRow { name, is_required, value_type, default: None, users: &[], is_limit: false, help }
}

pub(crate) const SETTING_FIELDS: &[FieldRow] = &[
    inherited(
        "priority",
        ValueType::Choice(&["guidance", "interactive", "batch"]),
        "interactive",
        "Priority class of a service's requests.",
    )
    .used_by(SERVICES),
    inherited(
        "deadline_ms",
        ValueType::Number(1, 86_400_000),
        "30000",
        "Time for a whole answer, in milliseconds.",
    )
    .used_by(SERVICES)
    .limiting(),
    inherited(
        "token_gap_ms",
        ValueType::Number(1, 600_000),
        "2000",
        "Longest wait for the next token before the attempt is given up, in milliseconds.",
    )
    .used_by(MODELS)
    .limiting(),
    inherited("max_tokens", ValueType::Number(1, 1_000_000), "4096", "Longest answer, in tokens.")
        .used_by(MODELS)
        .limiting(),
    inherited(
        "concurrent_requests",
        ValueType::Number(1, 1_000_000),
        "64",
        "Requests of a customer in flight, over all hosts.",
    )
    .used_by(CUSTOMERS)
    .limiting(),
    inherited(
        "requests_per_second",
        ValueType::Number(1, 1_000_000),
        "100",
        "Requests of a customer in a second, over all hosts.",
    )
    .used_by(CUSTOMERS)
    .limiting(),
    inherited(
        "share",
        ValueType::Number(1, 10_000),
        "1",
        "Weight of a customer when capacity is short.",
    )
    .used_by(CUSTOMERS),
    inherited(
        "queue_length",
        ValueType::Number(0, 1_000_000),
        "64",
        "Requests that may wait for a service on each host.",
    )
    .used_by(SERVICES)
    .limiting(),
];

const ENDPOINT_FIELDS: &[FieldRow] = &[
    required("name", ValueType::Name, "Name, unique in the tree."),
    required("address", ValueType::Address, "IP address and port, unique in the tree."),
    required("domain", ValueType::Name, "Failure domain that the endpoint is in."),
    optional("accelerator", ValueType::Text, "Kind of accelerator."),
    optional(
        "checks_fence",
        ValueType::Bool,
        "Whether the endpoint refuses an order with an old fence; false where unset.",
    ),
];

const MODEL_FIELDS: &[FieldRow] = &[
    required("name", ValueType::Text, "Name of the model at the engines."),
    required("version", ValueType::Text, "Version of the model."),
    required("layers", ValueType::Number(1, 4096), "Number of layers."),
    required("stages", ValueType::Number(1, 64), "Number of stages in a chain."),
    required(
        "endpoint_slots",
        ValueType::Number(1, 100_000),
        "Requests that one endpoint works on at once without slowing down.",
    ),
    required("endpoints", ValueType::TableList(ENDPOINT_FIELDS), "Engines, at least one."),
];

const OPERATION_FIELDS: &[FieldRow] = &[
    required("method", ValueType::Method, "HTTP method in upper case."),
    required("path", ValueType::Path, "Path after the prefix; a last `*` matches any rest."),
    required("idempotent", ValueType::Bool, "Whether the call may be repeated."),
];

const PLAIN_FIELDS: &[FieldRow] = &[
    required("prefix", ValueType::Prefix, "Path prefix, unique in the tree."),
    optional(
        "operations",
        ValueType::TableList(OPERATION_FIELDS),
        "Operations; a call that none matches is non-idempotent.",
    ),
    required(
        "endpoint_slots",
        ValueType::Number(1, 100_000),
        "Requests that one endpoint works on at once.",
    ),
    required("endpoints", ValueType::TableList(ENDPOINT_FIELDS), "Endpoints, at least one."),
];

const CUSTOMER_FIELDS: &[FieldRow] = &[
    required("key_hashes", ValueType::KeyHashList, "SHA-256 of each bearer key, in hexadecimal."),
    required("services", ValueType::NameList, "Services that the customer may call."),
];

const LINK_FIELDS: &[FieldRow] = &[
    required("between", ValueType::NamePair, "The two failure domains."),
    required("latency_us", ValueType::Number(0, 10_000_000), "Latency one way, in microseconds."),
    required("megabits", ValueType::Number(1, 100_000_000), "Bandwidth, in megabits a second."),
];

pub(crate) const NODE_FIELDS: &[FieldRow] = &[
    required("name", ValueType::Name, "Name, unique in the tree."),
    required("kind", ValueType::Choice(&["group", "service", "customer"]), "Kind of the node."),
    optional("parent", ValueType::Name, "Parent, a group; only the root has none."),
    optional(
        "settings",
        ValueType::Table(SETTING_FIELDS),
        "Settings that differ from the parent's.",
    ),
    optional("model", ValueType::Table(MODEL_FIELDS), "Model service; only on a service."),
    optional("plain", ValueType::Table(PLAIN_FIELDS), "Plain service; only on a service."),
    optional("customer", ValueType::Table(CUSTOMER_FIELDS), "Only and always on a customer."),
    optional(
        "links",
        ValueType::TableList(LINK_FIELDS),
        "Links between failure domains; only on the root.",
    ),
];

/// Row of the table of declaration fields, for documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationField {
    /// Path of the field, such as `model.endpoints.address`.
    pub path: Box<str>,
    /// Accepted values, such as `1..=64`.
    pub values: Box<str>,
    /// `required`, `optional`, or the default of an inherited setting.
    pub default: Box<str>,
    /// One-sentence description.
    pub help: Box<str>,
}

/// Returns every field of a declaration, in the order of the table.
///
/// ```
/// let fields = jacinthrock::declaration_fields();
/// assert!(fields.iter().any(|field| &*field.path == "settings.deadline_ms"));
/// ```
pub fn declaration_fields() -> Vec<DeclarationField> {
    let mut fields = Vec::new();
    collect_fields("", NODE_FIELDS, &mut fields);
    fields
}

fn collect_fields(prefix: &str, rows: &[FieldRow], fields: &mut Vec<DeclarationField>) {
    for row in rows {
        let path = format!("{prefix}{}", row.name);
        let default = match (row.default, row.is_required) {
            (Some(default), _) => default,
            (None, true) => "required",
            (None, false) => "optional",
        };
        fields.push(DeclarationField {
            path: path.as_str().into(),
            values: row.value_type.describe().into(),
            default: default.into(),
            help: row.help.into(),
        });
        if let ValueType::Table(rows) | ValueType::TableList(rows) = row.value_type {
            collect_fields(&format!("{path}."), rows, fields);
        }
    }
}

/// Violation of the schema by one field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FieldError {
    pub(crate) code: ResultCode,
    pub(crate) field: Box<str>,
    pub(crate) problem: Box<str>,
}

/// Checks a document against the table of fields and returns every violation.
pub(crate) fn check_fields(document: &Value) -> Vec<FieldError> {
    let mut errors = Vec::new();
    check_table("", document, NODE_FIELDS, &mut errors);
    errors
}

fn check_table(path: &str, value: &Value, rows: &[FieldRow], errors: &mut Vec<FieldError>) {
    let Some(table) = value.as_object() else {
        errors.push(type_error(path, "a table", value));
        return;
    };
    let join = |name: &str| if path.is_empty() { name.into() } else { format!("{path}.{name}") };
    for name in table.keys().filter(|name| rows.iter().all(|row| row.name != **name)) {
        errors.push(field_error(
            ResultCode::DeclarationUnknownField,
            &join(name),
            "is not a known field",
        ));
    }
    for row in rows {
        match table.get(row.name) {
            Some(value) => check_field(&join(row.name), value, row.value_type, errors),
            None if row.is_required => {
                errors.push(field_error(
                    ResultCode::DeclarationIncomplete,
                    &join(row.name),
                    "is missing",
                ));
            }
            None => {}
        }
    }
}

fn check_field(path: &str, value: &Value, value_type: ValueType, errors: &mut Vec<FieldError>) {
    match value_type {
        ValueType::Table(rows) => check_table(path, value, rows, errors),
        ValueType::TableList(rows) => {
            check_list(path, value, errors, |path, item, errors| {
                check_table(path, item, rows, errors);
            });
        }
        ValueType::NameList => check_scalars(path, value, ValueType::Name, errors),
        ValueType::KeyHashList => {
            check_list(path, value, errors, |path, item, errors| {
                check_text(path, item, errors, key_hash_problem);
            });
        }
        ValueType::NamePair => {
            check_scalars(path, value, ValueType::Name, errors);
            if value.as_array().is_some_and(|items| items.len() != 2) {
                let problem = "must name exactly two failure domains";
                errors.push(field_error(ResultCode::DeclarationRange, path, problem));
            }
        }
        ValueType::Bool if !value.is_boolean() => {
            errors.push(type_error(path, "true or false", value));
        }
        ValueType::Bool => {}
        ValueType::Number(lowest, highest) => check_number(path, value, lowest, highest, errors),
        ValueType::Choice(choices) => check_text(path, value, errors, |text| {
            (!choices.contains(&text)).then(|| format!("must be one of {}", choices.join(", ")))
        }),
        ValueType::Name => check_text(path, value, errors, name_problem),
        ValueType::Text => check_text(path, value, errors, text_problem),
        ValueType::Address => check_text(path, value, errors, address_problem),
        ValueType::Prefix => check_text(path, value, errors, prefix_problem),
        ValueType::Path => check_text(path, value, errors, path_problem),
        ValueType::Method => check_text(path, value, errors, method_problem),
    }
}

fn check_list(
    path: &str,
    value: &Value,
    errors: &mut Vec<FieldError>,
    mut check_item: impl FnMut(&str, &Value, &mut Vec<FieldError>),
) {
    let Some(items) = value.as_array() else {
        errors.push(type_error(path, "a list", value));
        return;
    };
    for (index, item) in items.iter().enumerate() {
        check_item(&format!("{path}[{index}]"), item, errors);
    }
}

fn check_scalars(path: &str, value: &Value, kind: ValueType, errors: &mut Vec<FieldError>) {
    check_list(path, value, errors, |path, item, errors| check_field(path, item, kind, errors));
}

fn check_number(
    path: &str,
    value: &Value,
    lowest: u64,
    highest: u64,
    errors: &mut Vec<FieldError>,
) {
    if !value.is_i64() && !value.is_u64() {
        errors.push(type_error(path, "a whole number", value));
        return;
    }
    if value.as_u64().is_none_or(|number| number < lowest || number > highest) {
        let problem = format!("{value} is not within {lowest}..={highest}");
        errors.push(field_error(ResultCode::DeclarationRange, path, &problem));
    }
}

fn check_text(
    path: &str,
    value: &Value,
    errors: &mut Vec<FieldError>,
    find_problem: impl Fn(&str) -> Option<String>,
) {
    let Some(text) = value.as_str() else {
        errors.push(type_error(path, "text", value));
        return;
    };
    if let Some(problem) = find_problem(text) {
        let excerpt: String = text.chars().take(MAX_NAME_BYTES).collect();
        errors.push(field_error(
            ResultCode::DeclarationRange,
            path,
            &format!("{excerpt:?} {problem}"),
        ));
    }
}

fn name_problem(text: &str) -> Option<String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(is_allowed) {
        return Some(format!("must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`"));
    }
    None
}

fn text_problem(text: &str) -> Option<String> {
    if text.is_empty() || text.len() > MAX_TEXT_BYTES {
        return Some(format!("must be 1 to {MAX_TEXT_BYTES} bytes long"));
    }
    None
}

fn address_problem(text: &str) -> Option<String> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => None,
        _ => Some("must be an IP address and port, such as 10.0.0.7:8000".into()),
    }
}

fn prefix_problem(text: &str) -> Option<String> {
    if text.len() < 2 || text.ends_with('/') || path_problem(text).is_some() || text.contains('*') {
        return Some("must start with `/`, hold a word and not end with `/`".into());
    }
    let rest = text.strip_prefix(RESERVED_PREFIX)?;
    (rest.is_empty() || rest.starts_with('/'))
        .then(|| format!("must not be under {RESERVED_PREFIX}, which the router serves itself"))
}

fn path_problem(text: &str) -> Option<String> {
    let body = text.strip_suffix('*').unwrap_or(text);
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !b"*?#\"\\".contains(&byte);
    if !text.starts_with('/') || text.len() > MAX_TEXT_BYTES || !body.bytes().all(is_allowed) {
        return Some("must start with `/`, with `*` only as its last character".into());
    }
    None
}

fn method_problem(text: &str) -> Option<String> {
    let has_valid_length = !text.is_empty() && text.len() <= 16;
    if !has_valid_length || !text.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Some("must be an HTTP method in upper case".into());
    }
    None
}

fn key_hash_problem(text: &str) -> Option<String> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != KEY_HASH_DIGITS || !text.bytes().all(is_digit) {
        return Some(format!("must be {KEY_HASH_DIGITS} hexadecimal digits in lower case"));
    }
    None
}

fn field_error(code: ResultCode, field: &str, problem: &str) -> FieldError {
    FieldError { code, field: field.into(), problem: problem.into() }
}

fn type_error(path: &str, expected: &str, value: &Value) -> FieldError {
    let found = match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    };
    field_error(ResultCode::DeclarationSyntax, path, &format!("must be {expected}, not {found}"))
}

impl ValueType {
    fn describe(self) -> String {
        match self {
            Self::Name => "name".into(),
            Self::NameList => "list of names".into(),
            Self::Text => "text".into(),
            Self::Address => "IP:port".into(),
            Self::Prefix => "path prefix".into(),
            Self::Path => "path".into(),
            Self::Method => "HTTP method".into(),
            Self::KeyHashList => "list of SHA-256 digests".into(),
            Self::Bool => "true or false".into(),
            Self::Number(lowest, highest) => format!("{lowest}..={highest}"),
            Self::Choice(choices) => choices.join(", "),
            Self::NamePair => "two names".into(),
            Self::Table(_) => "table".into(),
            Self::TableList(_) => "list of tables".into(),
        }
    }
}
