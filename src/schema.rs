//! The fields of a declaration: one table from which parsing, checks and documents come.

use serde_json::Value;
use std::net::SocketAddr;

use crate::codes::ResultCode;

/// Longest name of a node, endpoint or failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Longest free text, in bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Length of a SHA-256 digest in hexadecimal.
const KEY_HASH_DIGITS: usize = 64;
/// Paths that the router serves itself.
const RESERVED_PREFIX: &str = "/v1";

/// What a field takes.
#[derive(Clone, Copy)]
pub(crate) enum FieldShape {
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

/// One field of a declaration.
#[derive(Clone, Copy)]
pub(crate) struct FieldRow {
    pub(crate) name: &'static str,
    pub(crate) required: bool,
    pub(crate) shape: FieldShape,
    /// Value at the root where no node sets the field.
    pub(crate) default: Option<&'static str>,
    pub(crate) help: &'static str,
}

const fn required(name: &'static str, shape: FieldShape, help: &'static str) -> FieldRow {
    FieldRow { name, required: true, shape, default: None, help }
}

const fn optional(name: &'static str, shape: FieldShape, help: &'static str) -> FieldRow {
    FieldRow { name, required: false, shape, default: None, help }
}

const fn inherited(
    name: &'static str,
    shape: FieldShape,
    default: &'static str,
    help: &'static str,
) -> FieldRow {
    FieldRow { name, required: false, shape, default: Some(default), help }
}

pub(crate) const SETTING_FIELDS: &[FieldRow] = &[
    inherited(
        "priority",
        FieldShape::Choice(&["guidance", "interactive", "batch"]),
        "interactive",
        "Priority class of a service's requests.",
    ),
    inherited(
        "deadline_ms",
        FieldShape::Number(1, 86_400_000),
        "30000",
        "Time for a whole answer, in milliseconds.",
    ),
    inherited(
        "token_gap_ms",
        FieldShape::Number(1, 600_000),
        "2000",
        "Longest wait for the next token before the attempt is given up, in milliseconds.",
    ),
    inherited("max_tokens", FieldShape::Number(1, 1_000_000), "4096", "Longest answer, in tokens."),
    inherited(
        "concurrent_requests",
        FieldShape::Number(1, 1_000_000),
        "64",
        "Requests of a customer in flight, over all hosts.",
    ),
    inherited(
        "requests_per_second",
        FieldShape::Number(1, 1_000_000),
        "100",
        "Requests of a customer in a second, over all hosts.",
    ),
    inherited(
        "share",
        FieldShape::Number(1, 10_000),
        "1",
        "Weight of a customer when capacity is short.",
    ),
    inherited(
        "queue_length",
        FieldShape::Number(0, 1_000_000),
        "64",
        "Requests that may wait for a service on each host.",
    ),
];

const ENDPOINT_FIELDS: &[FieldRow] = &[
    required("name", FieldShape::Name, "Name, unique in the tree."),
    required("address", FieldShape::Address, "IP address and port, unique in the tree."),
    required("domain", FieldShape::Name, "Failure domain that the endpoint is in."),
    optional("accelerator", FieldShape::Text, "Kind of accelerator."),
    optional(
        "checks_fence",
        FieldShape::Bool,
        "Whether the endpoint refuses an order with an old fence; false where unset.",
    ),
];

const MODEL_FIELDS: &[FieldRow] = &[
    required("name", FieldShape::Text, "Name of the model at the engines."),
    required("version", FieldShape::Text, "Version of the model."),
    required("layers", FieldShape::Number(1, 4096), "Number of layers."),
    required("stages", FieldShape::Number(1, 64), "Number of stages in a chain."),
    required(
        "endpoint_slots",
        FieldShape::Number(1, 100_000),
        "Requests that one endpoint works on at once without slowing down.",
    ),
    required("endpoints", FieldShape::TableList(ENDPOINT_FIELDS), "Engines, at least one."),
];

const OPERATION_FIELDS: &[FieldRow] = &[
    required("method", FieldShape::Method, "HTTP method in upper case."),
    required("path", FieldShape::Path, "Path after the prefix; a last `*` matches any rest."),
    required("idempotent", FieldShape::Bool, "Whether the call may be repeated."),
];

const PLAIN_FIELDS: &[FieldRow] = &[
    required("prefix", FieldShape::Prefix, "Path prefix, unique in the tree."),
    optional(
        "operations",
        FieldShape::TableList(OPERATION_FIELDS),
        "Operations; a call that none matches is non-idempotent.",
    ),
    required(
        "endpoint_slots",
        FieldShape::Number(1, 100_000),
        "Requests that one endpoint works on at once.",
    ),
    required("endpoints", FieldShape::TableList(ENDPOINT_FIELDS), "Endpoints, at least one."),
];

const CUSTOMER_FIELDS: &[FieldRow] = &[
    required("key_hashes", FieldShape::KeyHashList, "SHA-256 of each bearer key, in hexadecimal."),
    required("services", FieldShape::NameList, "Services that the customer may call."),
];

const LINK_FIELDS: &[FieldRow] = &[
    required("between", FieldShape::NamePair, "The two failure domains."),
    required("latency_us", FieldShape::Number(0, 10_000_000), "Latency one way, in microseconds."),
    required("megabits", FieldShape::Number(1, 100_000_000), "Bandwidth, in megabits a second."),
];

pub(crate) const NODE_FIELDS: &[FieldRow] = &[
    required("name", FieldShape::Name, "Name, unique in the tree."),
    required("kind", FieldShape::Choice(&["group", "service", "customer"]), "Kind of the node."),
    optional("parent", FieldShape::Name, "Parent, a group; only the root has none."),
    optional(
        "settings",
        FieldShape::Table(SETTING_FIELDS),
        "Settings that differ from the parent's.",
    ),
    optional("model", FieldShape::Table(MODEL_FIELDS), "Model service; only on a service."),
    optional("plain", FieldShape::Table(PLAIN_FIELDS), "Plain service; only on a service."),
    optional("customer", FieldShape::Table(CUSTOMER_FIELDS), "Only and always on a customer."),
    optional(
        "links",
        FieldShape::TableList(LINK_FIELDS),
        "Links between failure domains; only on the root.",
    ),
];

/// One row of the table of declaration fields, for documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationField {
    /// Path of the field, such as `model.endpoints.address`.
    pub path: Box<str>,
    /// What it takes, such as `1..=64`.
    pub takes: Box<str>,
    /// `required`, `optional`, or the default at the root.
    pub default: Box<str>,
    /// One sentence for people.
    pub help: Box<str>,
}

/// Every field of a declaration, in the order of the table.
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
        let default = match (row.default, row.required) {
            (Some(default), _) => default,
            (None, true) => "required",
            (None, false) => "optional",
        };
        fields.push(DeclarationField {
            path: path.as_str().into(),
            takes: row.shape.describe().into(),
            default: default.into(),
            help: row.help.into(),
        });
        if let FieldShape::Table(rows) | FieldShape::TableList(rows) = row.shape {
            collect_fields(&format!("{path}."), rows, fields);
        }
    }
}

/// A field that breaks the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ShapeFault {
    pub(crate) code: ResultCode,
    pub(crate) field: Box<str>,
    pub(crate) problem: Box<str>,
}

/// Compares a document with the table of fields and returns every fault.
pub(crate) fn check_shape(document: &Value) -> Vec<ShapeFault> {
    let mut faults = Vec::new();
    check_table("", document, NODE_FIELDS, &mut faults);
    faults
}

fn check_table(path: &str, value: &Value, rows: &[FieldRow], faults: &mut Vec<ShapeFault>) {
    let Some(table) = value.as_object() else {
        faults.push(type_fault(path, "a table", value));
        return;
    };
    let join = |name: &str| if path.is_empty() { name.into() } else { format!("{path}.{name}") };
    for name in table.keys().filter(|name| rows.iter().all(|row| row.name != **name)) {
        faults.push(fault(
            ResultCode::DeclarationUnknownField,
            &join(name),
            "is not a known field",
        ));
    }
    for row in rows {
        match table.get(row.name) {
            Some(value) => check_field(&join(row.name), value, row.shape, faults),
            None if row.required => {
                faults.push(fault(
                    ResultCode::DeclarationIncomplete,
                    &join(row.name),
                    "is missing",
                ));
            }
            None => {}
        }
    }
}

fn check_field(path: &str, value: &Value, shape: FieldShape, faults: &mut Vec<ShapeFault>) {
    match shape {
        FieldShape::Table(rows) => check_table(path, value, rows, faults),
        FieldShape::TableList(rows) => {
            check_list(path, value, faults, |path, item, faults| {
                check_table(path, item, rows, faults);
            });
        }
        FieldShape::NameList => check_scalars(path, value, FieldShape::Name, faults),
        FieldShape::KeyHashList => {
            check_list(path, value, faults, |path, item, faults| {
                check_text(path, item, faults, key_hash_problem);
            });
        }
        FieldShape::NamePair => {
            check_scalars(path, value, FieldShape::Name, faults);
            if value.as_array().is_some_and(|items| items.len() != 2) {
                let problem = "must name exactly two failure domains";
                faults.push(fault(ResultCode::DeclarationRange, path, problem));
            }
        }
        FieldShape::Bool if !value.is_boolean() => {
            faults.push(type_fault(path, "true or false", value));
        }
        FieldShape::Bool => {}
        FieldShape::Number(lowest, highest) => check_number(path, value, lowest, highest, faults),
        FieldShape::Choice(choices) => check_text(path, value, faults, |text| {
            (!choices.contains(&text)).then(|| format!("must be one of {}", choices.join(", ")))
        }),
        FieldShape::Name => check_text(path, value, faults, name_problem),
        FieldShape::Text => check_text(path, value, faults, text_problem),
        FieldShape::Address => check_text(path, value, faults, address_problem),
        FieldShape::Prefix => check_text(path, value, faults, prefix_problem),
        FieldShape::Path => check_text(path, value, faults, path_problem),
        FieldShape::Method => check_text(path, value, faults, method_problem),
    }
}

fn check_list(
    path: &str,
    value: &Value,
    faults: &mut Vec<ShapeFault>,
    mut check_item: impl FnMut(&str, &Value, &mut Vec<ShapeFault>),
) {
    let Some(items) = value.as_array() else {
        faults.push(type_fault(path, "a list", value));
        return;
    };
    for (index, item) in items.iter().enumerate() {
        check_item(&format!("{path}[{index}]"), item, faults);
    }
}

fn check_scalars(path: &str, value: &Value, shape: FieldShape, faults: &mut Vec<ShapeFault>) {
    check_list(path, value, faults, |path, item, faults| check_field(path, item, shape, faults));
}

fn check_number(
    path: &str,
    value: &Value,
    lowest: u64,
    highest: u64,
    faults: &mut Vec<ShapeFault>,
) {
    if !value.is_i64() && !value.is_u64() {
        faults.push(type_fault(path, "a whole number", value));
        return;
    }
    if value.as_u64().is_none_or(|number| number < lowest || number > highest) {
        let problem = format!("{value} is not within {lowest}..={highest}");
        faults.push(fault(ResultCode::DeclarationRange, path, &problem));
    }
}

fn check_text(
    path: &str,
    value: &Value,
    faults: &mut Vec<ShapeFault>,
    problem: impl Fn(&str) -> Option<String>,
) {
    let Some(text) = value.as_str() else {
        faults.push(type_fault(path, "text", value));
        return;
    };
    if let Some(problem) = problem(text) {
        let shown: String = text.chars().take(MAX_NAME_BYTES).collect();
        faults.push(fault(ResultCode::DeclarationRange, path, &format!("{shown:?} {problem}")));
    }
}

fn name_problem(text: &str) -> Option<String> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
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
    let allowed = |byte: u8| byte.is_ascii_graphic() && !b"*?#\"\\".contains(&byte);
    if !text.starts_with('/') || text.len() > MAX_TEXT_BYTES || !body.bytes().all(allowed) {
        return Some("must start with `/`, with `*` only as its last character".into());
    }
    None
}

fn method_problem(text: &str) -> Option<String> {
    let valid = !text.is_empty() && text.len() <= 16;
    if !valid || !text.bytes().all(|byte| byte.is_ascii_uppercase()) {
        return Some("must be an HTTP method in upper case".into());
    }
    None
}

fn key_hash_problem(text: &str) -> Option<String> {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != KEY_HASH_DIGITS || !text.bytes().all(digit) {
        return Some(format!("must be {KEY_HASH_DIGITS} hexadecimal digits in lower case"));
    }
    None
}

fn fault(code: ResultCode, field: &str, problem: &str) -> ShapeFault {
    ShapeFault { code, field: field.into(), problem: problem.into() }
}

fn type_fault(path: &str, wanted: &str, value: &Value) -> ShapeFault {
    let found = match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a table",
    };
    fault(ResultCode::DeclarationSyntax, path, &format!("must be {wanted}, not {found}"))
}

impl FieldShape {
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
