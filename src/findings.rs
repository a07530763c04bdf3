//! Findings on a declaration tree that passes its checks: entries that have no effect, and limits
//! that contradict each other. The configuration is valid; an operator probably meant another one.

use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

use crate::codes::ResultCode;
use crate::declaration::{CustomerDeclaration, NodeDeclaration, NodeKind, PlainDeclaration};
use crate::effective::{EffectiveConfig, ServiceTarget};
use crate::inherit::{DEFAULT_SOURCE, ancestry, settings_map};
use crate::intake::{path_below_prefix, path_matches};
use crate::retries::plain_budget;
use crate::schema::{FieldRow, SETTING_FIELDS, SettingUser};
use crate::tree::{DeclarationTree, DeclaredNode, SourcedValue, serialize_code};

/// Entry of a valid configuration that has no effect or contradicts another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, thiserror::Error)]
#[error("{number} {name}: {file}: node {node:?}, field {field:?}: {problem}; {remedy}",
    number = code.number(), name = code.name())]
pub struct ConfigFinding {
    /// Result code in the 62xx range.
    #[serde(serialize_with = "serialize_code")]
    pub code: ResultCode,
    /// File path relative to the tree's directory.
    pub file: Box<str>,
    /// Name of the node.
    pub node: Box<str>,
    /// Path of the field; empty if the finding concerns the whole node.
    pub field: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What to change.
    pub remedy: Box<str>,
}

impl ConfigFinding {
    /// Returns every finding on a tree, sorted by result code, then by file. `config` is the tree's
    /// effective configuration, see [`DeclarationTree::resolve`].
    ///
    /// ```
    /// use jacinthrock::{ConfigFinding, DeclarationTree};
    ///
    /// let files = [
    ///     ("root.toml", "name = 'all'\nkind = 'group'"),
    ///     ("coop.toml", "name = 'coop'\nkind = 'group'\nparent = 'all'"),
    ///     (
    ///         "desk.toml",
    ///         "name = 'desk'\nkind = 'customer'\nparent = 'all'\n\
    ///          customer = { key_hashes = [], services = [] }",
    ///     ),
    /// ];
    /// let tree = DeclarationTree::from_files(files)?;
    /// let findings = ConfigFinding::find_all(&tree, &tree.resolve(1)?);
    /// let names: Vec<_> = findings.iter().map(|finding| finding.code.name()).collect();
    /// assert_eq!(names, ["customer_without_key", "customer_without_service", "group_empty"]);
    /// # Ok::<(), Vec<jacinthrock::DeclarationError>>(())
    /// ```
    pub fn find_all(tree: &DeclarationTree, config: &EffectiveConfig) -> Vec<Self> {
        let mut finder = FindingFinder { tree, config, findings: Vec::new() };
        let users = setting_users(tree);
        let called = called_services(config);
        for declared in tree.nodes() {
            finder.find_uncalled(declared, &called);
            finder.find_shadowed(declared);
            finder.find_callers_without_access(declared);
            finder.find_unused_settings(declared, &users);
            finder.find_unused_links(declared);
            finder.find_short_deadline(declared);
            finder.find_limits_above_parent(declared, &users);
            finder.find_retries_above_budget(declared);
        }
        finder.findings.sort();
        finder.findings
    }
}

/// Kinds of services and customers at or below each node, by name of the node.
type SettingUsers<'a> = BTreeMap<&'a str, BTreeSet<SettingUser>>;

struct FindingFinder<'a> {
    tree: &'a DeclarationTree,
    config: &'a EffectiveConfig,
    findings: Vec<ConfigFinding>,
}

impl FindingFinder<'_> {
    fn report(
        &mut self,
        code: ResultCode,
        declared: &DeclaredNode,
        field: &str,
        problem: impl Into<Box<str>>,
        remedy: impl Into<Box<str>>,
    ) {
        self.findings.push(ConfigFinding {
            code,
            file: declared.file.clone(),
            node: declared.node.name.clone(),
            field: field.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    fn find_uncalled(&mut self, declared: &DeclaredNode, called: &BTreeSet<&str>) {
        let node = &declared.node;
        if node.kind != NodeKind::Service || called.contains(&*node.name) {
            return;
        }
        let problem = "no customer may call the service";
        let remedy = "list it in `customer.services` of a customer or remove it";
        self.report(ResultCode::ServiceUncalled, declared, "", problem, remedy);
    }

    fn find_shadowed(&mut self, declared: &DeclaredNode) {
        let Some(plain) = &declared.node.plain else { return };
        for index in 0..plain.operations.len() {
            let Some((problem, remedy)) = self.shadowing(plain, index) else { continue };
            let field = format!("plain.operations[{index}]");
            self.report(ResultCode::OperationShadowed, declared, &field, problem, remedy);
        }
    }

    /// What takes every call of an operation, and what to change.
    fn shadowing(&self, plain: &PlainDeclaration, index: usize) -> Option<(String, String)> {
        let operation = &plain.operations[index];
        let label = format!("{} {}", operation.method, operation.path);
        let earlier = plain.operations[..index].iter().find(|earlier| {
            earlier.method == operation.method && covers(&earlier.path, &operation.path)
        });
        if let Some(earlier) = earlier {
            let shadow = format!("{} {}", earlier.method, earlier.path);
            let problem = format!("{label} never matches, as {shadow} before it matches first");
            return Some((problem, format!("move it before {shadow} or remove it")));
        }
        let path = format!("{}{}", plain.prefix, operation.path);
        let shadows = |other: &&PlainDeclaration| {
            other.prefix.len() > plain.prefix.len() && prefix_covers(&other.prefix, &path)
        };
        let others = self.config.services.values().filter_map(|service| match &service.target {
            ServiceTarget::Plain(other) => Some((&service.name, other)),
            ServiceTarget::Model(_) => None,
        });
        let (service, other) = others.into_iter().find(|(_, other)| shadows(other))?;
        let prefix = &other.prefix;
        let problem = format!("{label} never matches, as {service:?} serves all below {prefix}");
        Some((problem, format!("remove it or change the prefix of {service:?}")))
    }

    fn find_callers_without_access(&mut self, declared: &DeclaredNode) {
        let Some(CustomerDeclaration { key_hashes, services }) = &declared.node.customer else {
            return;
        };
        if key_hashes.is_empty() {
            let problem = "no key is declared, so that every call of the customer is refused";
            let remedy = "add the SHA-256 of a key or remove the customer";
            let field = "customer.key_hashes";
            self.report(ResultCode::CustomerWithoutKey, declared, field, problem, remedy);
        }
        if services.is_empty() {
            let problem = "the customer may call no service";
            let remedy = "list a service or remove the customer";
            let field = "customer.services";
            self.report(ResultCode::CustomerWithoutService, declared, field, problem, remedy);
        }
    }

    fn find_unused_settings(&mut self, declared: &DeclaredNode, users: &SettingUsers<'_>) {
        let Some(users) = users.get(&*declared.node.name) else {
            let problem = "no service or customer is below the group";
            let remedy = "remove it or declare a node below it";
            self.report(ResultCode::GroupEmpty, declared, "", problem, remedy);
            return;
        };
        let own = settings_map(&declared.node.settings);
        let unused = |row: &&FieldRow| own.contains_key(row.name) && !is_used(row, users);
        for row in SETTING_FIELDS.iter().filter(unused) {
            let needed: Vec<&str> = row.users.iter().map(|user| user.label()).collect();
            let needed = needed.join(" or ");
            let problem = format!("the setting takes effect on a {needed} only");
            let remedy = match declared.node.kind {
                NodeKind::Group => format!("remove it, as no {needed} is below the group"),
                NodeKind::Service | NodeKind::Customer => "remove it".into(),
            };
            let field = format!("settings.{}", row.name);
            self.report(ResultCode::SettingUnused, declared, &field, problem, remedy);
        }
    }

    fn find_unused_links(&mut self, declared: &DeclaredNode) {
        for (index, link) in declared.node.links.iter().enumerate() {
            let [from, to] = &link.between;
            if self.config.services.values().any(|service| may_cross(&service.target, from, to)) {
                continue;
            }
            let field = format!("links[{index}].between");
            let problem =
                format!("no model service has stages at endpoints in {from:?} and {to:?}");
            let remedy = "remove the link or declare such endpoints";
            self.report(ResultCode::LinkUnused, declared, &field, problem, remedy);
        }
    }

    fn find_short_deadline(&mut self, declared: &DeclaredNode) {
        let name = &declared.node.name;
        let Some(service) = self.config.services.get(name) else { return };
        if matches!(service.target, ServiceTarget::Plain(_))
            || service.deadline >= service.token_gap
        {
            return;
        }
        let values = self.tree.effective_with_sources(name).unwrap_or_default();
        let describe = |field| find_value(&values, field).map(describe_value).unwrap_or_default();
        let problem = format!("{} is below {}", describe("deadline_ms"), describe("token_gap_ms"));
        let remedy = "raise deadline_ms or lower token_gap_ms";
        let field = "settings.deadline_ms";
        self.report(ResultCode::DeadlineBelowGap, declared, field, problem, remedy);
    }

    fn find_limits_above_parent(&mut self, declared: &DeclaredNode, users: &SettingUsers<'_>) {
        let Some(parent) = &declared.node.parent else { return };
        let Some(users) = users.get(&*declared.node.name) else { return };
        let own = settings_map(&declared.node.settings);
        let inherited = self.tree.effective_with_sources(parent).unwrap_or_default();
        for row in SETTING_FIELDS.iter().filter(|row| row.is_limit && is_used(row, users)) {
            let Some(limit) = own.get(row.name).and_then(Value::as_u64) else { continue };
            let Some(value) = find_value(&inherited, row.name) else { continue };
            // A default is what applies where no operator has set a limit.
            let is_declared = &*value.source != DEFAULT_SOURCE;
            if !is_declared || value.value.as_u64().is_none_or(|upper| limit <= upper) {
                continue;
            }
            let field = format!("settings.{}", row.name);
            let problem = format!("{limit} is above {}", describe_value(value));
            let remedy = format!("lower it or raise the limit of {:?}", value.source);
            self.report(ResultCode::LimitAboveParent, declared, &field, problem, remedy);
        }
    }

    /// A plain call is tried at each endpoint of its service once, and each try after the first
    /// takes a retry. Answers of models may retry without such a bound, but only until the deadline.
    fn find_retries_above_budget(&mut self, declared: &DeclaredNode) {
        let Some(customer) = self.config.customers.get(&declared.node.name) else { return };
        let rate = customer.requests_per_second;
        let budget = plain_budget();
        let allowed = budget.max_retries(rate);
        let services = declared.node.customer.iter().flat_map(|customer| &customer.services);
        for (index, name) in services.enumerate() {
            let Some(service) = self.config.services.get(name) else { continue };
            let ServiceTarget::Plain(plain) = &service.target else { continue };
            let needed = plain.endpoints.len().saturating_sub(1) as u64;
            if needed <= allowed {
                continue;
            }
            let field = format!("customer.services[{index}]");
            let problem = format!(
                "a call of {name:?} may need {needed} retries to reach each endpoint, but at {rate} \
                 requests_per_second a host allows {allowed} in {} s",
                budget.window_buckets
            );
            let remedy = format!(
                "raise requests_per_second of the customer or declare fewer endpoints of {name:?}"
            );
            self.report(ResultCode::RetriesAboveBudget, declared, &field, problem, remedy);
        }
    }
}

impl SettingUser {
    fn of(node: &NodeDeclaration) -> Option<Self> {
        match node.kind {
            NodeKind::Group => None,
            NodeKind::Service if node.model.is_some() => Some(Self::Model),
            NodeKind::Service => Some(Self::Plain),
            NodeKind::Customer => Some(Self::Customer),
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Model => "model service",
            Self::Plain => "plain service",
            Self::Customer => "customer",
        }
    }
}

fn setting_users(tree: &DeclarationTree) -> SettingUsers<'_> {
    let mut users = SettingUsers::new();
    for declared in tree.nodes() {
        let Some(user) = SettingUser::of(&declared.node) else { continue };
        for ancestor in ancestry(tree, &declared.node) {
            users.entry(&*ancestor.name).or_default().insert(user);
        }
    }
    users
}

fn is_used(row: &FieldRow, users: &BTreeSet<SettingUser>) -> bool {
    row.users.iter().any(|user| users.contains(user))
}

fn called_services(config: &EffectiveConfig) -> BTreeSet<&str> {
    let customers = config.customers.values();
    customers.flat_map(|customer| &customer.services).map(|name| &**name).collect()
}

/// Whether every path that `pattern` matches is also matched by `earlier`.
fn covers(earlier: &str, pattern: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(start) => earlier.ends_with('*') && path_matches(earlier, start),
        None => path_matches(earlier, pattern),
    }
}

/// Whether every path that `pattern` matches is below a prefix.
fn prefix_covers(prefix: &str, pattern: &str) -> bool {
    match pattern.strip_suffix('*') {
        // The next character of a path that equals the prefix may be other than a slash.
        Some(start) => start.len() > prefix.len() && path_below_prefix(start, prefix).is_some(),
        None => path_below_prefix(pattern, prefix).is_some(),
    }
}

/// Whether a chain of the service may send tokens from an endpoint in one failure domain to another
/// endpoint in the other.
fn may_cross(target: &ServiceTarget, from: &str, to: &str) -> bool {
    let ServiceTarget::Model(model) = target else { return false };
    let count = |domain: &str| {
        model.endpoints.iter().filter(|endpoint| &*endpoint.domain == domain).count()
    };
    let needed = if from == to { 2 } else { 1 };
    model.stages > 1 && count(from) >= needed && count(to) >= needed
}

fn find_value<'a>(values: &'a [SourcedValue], field: &str) -> Option<&'a SourcedValue> {
    values.iter().find(|value| &*value.field == field)
}

fn describe_value(value: &SourcedValue) -> String {
    format!("{} = {} ({})", value.field, value.value, value.source)
}
