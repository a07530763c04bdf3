//! Inheritance of settings: each node overrides its ancestors, which override the defaults.

use serde_json::{Map, Value};
use std::time::Duration;

use crate::declaration::{NodeDeclaration, NodeKind, NodeSettings};
use crate::effective::{EffectiveConfig, EffectiveCustomer, EffectiveService, ServiceTarget};
use crate::ids::ConfigRevision;
use crate::schema::{FieldRow, SETTING_FIELDS};
use crate::tree::{DeclarationTree, SourcedValue};

/// Source reported for a setting that no node sets.
pub(crate) const DEFAULT_SOURCE: &str = "default";

/// Resolves a tree that has passed the consistency checks.
pub(crate) fn resolve_tree(tree: &DeclarationTree, revision: ConfigRevision) -> EffectiveConfig {
    let mut config = EffectiveConfig { revision, ..EffectiveConfig::default() };
    let defaults = default_settings();
    for declared in tree.nodes() {
        let node = &declared.node;
        let settings = resolve_settings(tree, node, &defaults);
        match node.kind {
            NodeKind::Group => config.links.extend(node.links.iter().cloned()),
            NodeKind::Service => {
                if let Some(service) = resolve_service(node, &settings) {
                    config.services.insert(node.name.clone(), service);
                }
            }
            NodeKind::Customer => {
                if let Some(customer) = resolve_customer(node, &settings) {
                    config.customers.insert(node.name.clone(), customer);
                }
            }
        }
    }
    config
}

/// Returns each setting with the node that sets it, followed by the node's other fields.
pub(crate) fn sourced_values(tree: &DeclarationTree, name: &str) -> Option<Vec<SourcedValue>> {
    let node = tree.node(name)?;
    let mut values = sourced_settings(tree, node);
    for (field, value) in node_fields(node) {
        if !field.starts_with("settings.") {
            values.push(SourcedValue { field, value, source: node.name.clone() });
        }
    }
    Some(values)
}

/// Returns every field of a node with its path; list items are identified by name.
pub(crate) fn node_fields(node: &NodeDeclaration) -> Vec<(Box<str>, Value)> {
    let value = serde_json::to_value(node).expect("declarations hold only JSON types");
    let mut fields = Vec::new();
    flatten("", value, &mut fields);
    fields
}

fn flatten(path: &str, value: Value, fields: &mut Vec<(Box<str>, Value)>) {
    match value {
        Value::Object(table) => {
            for (name, value) in table {
                let path = if path.is_empty() { name } else { format!("{path}.{name}") };
                flatten(&path, value, fields);
            }
        }
        Value::Array(items) => {
            for item in items {
                let path = format!("{path}[{}]", item_key(&item));
                flatten(&path, item, fields);
            }
        }
        scalar => fields.push((path.into(), scalar)),
    }
}

/// Identifies an item of a list independently of its position.
fn item_key(item: &Value) -> String {
    let text = |field: &str| item.get(field).and_then(Value::as_str);
    if let Some(name) = text("name") {
        return name.to_owned();
    }
    if let (Some(method), Some(path)) = (text("method"), text("path")) {
        return format!("{method} {path}");
    }
    if let Some(between) = item.get("between").and_then(Value::as_array) {
        let names: Vec<&str> = between.iter().filter_map(Value::as_str).collect();
        return names.join(" to ");
    }
    item.as_str().map_or_else(|| item.to_string(), str::to_owned)
}

fn sourced_settings(tree: &DeclarationTree, node: &NodeDeclaration) -> Vec<SourcedValue> {
    let mut unset: Vec<&str> = SETTING_FIELDS.iter().map(|row| row.name).collect();
    let mut found = Vec::new();
    for ancestor in ancestry(tree, node) {
        let own = settings_map(&ancestor.settings);
        unset.retain(|name| {
            let Some(value) = own.get(*name) else { return true };
            let source = ancestor.name.clone();
            found.push(SourcedValue { field: (*name).into(), value: value.clone(), source });
            false
        });
    }
    for row in SETTING_FIELDS.iter().filter(|row| unset.contains(&row.name)) {
        let value = default_value(row.default.unwrap_or_default());
        found.push(SourcedValue { field: row.name.into(), value, source: DEFAULT_SOURCE.into() });
    }
    found.sort_by_key(|value| SETTING_FIELDS.iter().position(|row| row.name == &*value.field));
    found
}

/// Returns the node and its ancestors, nearest first. A cycle ends the list once it has more
/// entries than the tree has nodes.
pub(crate) fn ancestry<'a>(
    tree: &'a DeclarationTree,
    node: &'a NodeDeclaration,
) -> Vec<&'a NodeDeclaration> {
    let mut ancestors = vec![node];
    let mut parent = node.parent.as_deref();
    while let Some(node) = parent.and_then(|name| tree.node(name)) {
        if ancestors.len() > tree.nodes().len() {
            break;
        }
        ancestors.push(node);
        parent = node.parent.as_deref();
    }
    ancestors
}

pub(crate) fn settings_map(settings: &NodeSettings) -> Map<String, Value> {
    match serde_json::to_value(settings) {
        Ok(Value::Object(map)) => map,
        _ => Map::new(),
    }
}

fn default_value(text: &str) -> Value {
    text.parse::<u64>().map_or_else(|_| Value::from(text), Value::from)
}

/// Returns the defaults of all settings.
fn default_settings() -> NodeSettings {
    let value = |row: &FieldRow| (row.name.into(), default_value(row.default.unwrap_or_default()));
    let map: Map<String, Value> = SETTING_FIELDS.iter().map(value).collect();
    serde_json::from_value(Value::Object(map)).expect("defaults match the types of their fields")
}

/// Returns the effective settings of a node, with every field set.
fn resolve_settings(
    tree: &DeclarationTree,
    node: &NodeDeclaration,
    defaults: &NodeSettings,
) -> NodeSettings {
    let mut settings = NodeSettings::default();
    for ancestor in ancestry(tree, node) {
        settings = inherit_settings(settings, &ancestor.settings);
    }
    inherit_settings(settings, defaults)
}

fn inherit_settings(own: NodeSettings, parent: &NodeSettings) -> NodeSettings {
    NodeSettings {
        priority: own.priority.or(parent.priority),
        deadline_ms: own.deadline_ms.or(parent.deadline_ms),
        token_gap_ms: own.token_gap_ms.or(parent.token_gap_ms),
        max_tokens: own.max_tokens.or(parent.max_tokens),
        concurrent_requests: own.concurrent_requests.or(parent.concurrent_requests),
        requests_per_second: own.requests_per_second.or(parent.requests_per_second),
        share: own.share.or(parent.share),
        queue_length: own.queue_length.or(parent.queue_length),
    }
}

fn resolve_service(node: &NodeDeclaration, settings: &NodeSettings) -> Option<EffectiveService> {
    let target = match (&node.model, &node.plain) {
        (Some(model), _) => ServiceTarget::Model(model.clone()),
        (None, Some(plain)) => ServiceTarget::Plain(plain.clone()),
        (None, None) => return None,
    };
    Some(EffectiveService {
        name: node.name.clone(),
        priority: settings.priority?,
        deadline: Duration::from_millis(settings.deadline_ms?),
        token_gap: Duration::from_millis(settings.token_gap_ms?),
        max_tokens: settings.max_tokens?,
        queue_length: settings.queue_length?,
        target,
    })
}

fn resolve_customer(node: &NodeDeclaration, settings: &NodeSettings) -> Option<EffectiveCustomer> {
    let customer = node.customer.as_ref()?;
    Some(EffectiveCustomer {
        name: node.name.clone(),
        key_hashes: customer.key_hashes.iter().cloned().collect(),
        services: customer.services.iter().cloned().collect(),
        concurrent_requests: settings.concurrent_requests?,
        requests_per_second: settings.requests_per_second?,
        share: settings.share?,
    })
}
