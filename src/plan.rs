//! The difference between two trees, per node and field, and what a deletion strands.

use serde::Serialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

use crate::check::endpoints_of;
use crate::declaration::NodeDeclaration;
use crate::inherit::node_fields;
use crate::tree::DeclarationTree;

/// A field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the node.
    pub node: Box<str>,
    /// Path of the field.
    pub field: Box<str>,
    /// Value in force; `None` where the field is new.
    pub before: Option<Value>,
    /// Value wanted; `None` where the field goes.
    pub after: Option<Value>,
}

impl FieldChange {
    /// Node and field in the form in which a change record lists them.
    pub fn location(&self) -> Box<str> {
        format!("{}: {}", self.node, self.field).into()
    }
}

/// What a deletion takes away from somebody who uses it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct DeletionImpact {
    /// Node that the deletion is in.
    pub node: Box<str>,
    /// What is lost, and by whom.
    pub effect: Box<str>,
}

/// What an apply would change.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConfigPlan {
    /// Fields that differ, by node and field.
    pub changes: Vec<FieldChange>,
    /// What deletions strand.
    pub stranded: Vec<DeletionImpact>,
}

impl ConfigPlan {
    /// Compares the tree in force with the wanted one.
    ///
    /// ```
    /// use jacinthrock::{ConfigPlan, DeclarationTree};
    ///
    /// let read = |deadline: &str| {
    ///     let text = format!("name = 'all'\nkind = 'group'\nsettings.deadline_ms = {deadline}");
    ///     DeclarationTree::from_files([("root.toml", &*text)])
    /// };
    /// let plan = ConfigPlan::between(&read("5000")?, &read("8000")?);
    /// assert_eq!(&*plan.changes[0].place(), "all: settings.deadline_ms");
    /// # Ok::<(), Vec<jacinthrock::DeclarationError>>(())
    /// ```
    pub fn between(in_force: &DeclarationTree, wanted: &DeclarationTree) -> Self {
        Self { changes: field_changes(in_force, wanted), stranded: stranded_uses(in_force, wanted) }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

type FieldMap = BTreeMap<(Box<str>, Box<str>), Value>;

fn field_map(tree: &DeclarationTree) -> FieldMap {
    let mut map = FieldMap::new();
    for declared in tree.nodes() {
        for (field, value) in node_fields(&declared.node) {
            map.insert((declared.node.name.clone(), field), value);
        }
    }
    map
}

fn field_changes(in_force: &DeclarationTree, wanted: &DeclarationTree) -> Vec<FieldChange> {
    let before = field_map(in_force);
    let after = field_map(wanted);
    let places: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    let differs = |location: &&&(Box<str>, Box<str>)| before.get(**location) != after.get(**location);
    let changed = places.iter().filter(differs);
    changed
        .map(|location| FieldChange {
            node: location.0.clone(),
            field: location.1.clone(),
            before: before.get(*location).cloned(),
            after: after.get(*location).cloned(),
        })
        .collect()
}

fn stranded_uses(in_force: &DeclarationTree, wanted: &DeclarationTree) -> Vec<DeletionImpact> {
    let mut stranded = Vec::new();
    for declared in in_force.nodes() {
        let before = &declared.node;
        let after = wanted.node(&before.name);
        strand_service(in_force, before, after, &mut stranded);
        strand_customer(before, after, &mut stranded);
    }
    stranded.sort();
    stranded
}

fn strand_service(
    in_force: &DeclarationTree,
    before: &NodeDeclaration,
    after: Option<&NodeDeclaration>,
    stranded: &mut Vec<DeletionImpact>,
) {
    let mut strand = |effect: String| {
        stranded.push(DeletionImpact { node: before.name.clone(), effect: effect.into() });
    };
    let was_service = before.model.is_some() || before.plain.is_some();
    let is_service = after.is_some_and(|node| node.model.is_some() || node.plain.is_some());
    if was_service && !is_service {
        let customers: Vec<&str> = customers_of(in_force, &before.name).collect();
        let callers = if customers.is_empty() { "nobody".into() } else { customers.join(", ") };
        strand(format!("the service goes; it may be called by {callers}"));
    }
    let kept: BTreeSet<&str> =
        after.iter().flat_map(|node| endpoints_of(node)).map(|found| &*found.2.name).collect();
    for (_, _, endpoint) in endpoints_of(before).filter(|found| !kept.contains(&*found.2.name)) {
        let name = &endpoint.name;
        let address = &endpoint.address;
        strand(format!(
            "endpoint {name} ({address}) goes: its running work is cut off unless drained first"
        ));
    }
}

fn strand_customer(
    before: &NodeDeclaration,
    after: Option<&NodeDeclaration>,
    stranded: &mut Vec<DeletionImpact>,
) {
    let Some(customer) = &before.customer else { return };
    let mut strand = |effect: String| {
        stranded.push(DeletionImpact { node: before.name.clone(), effect: effect.into() });
    };
    let kept = after.and_then(|node| node.customer.as_ref());
    let Some(kept) = kept else {
        let keys = customer.key_hashes.len();
        strand(format!("the customer goes; its {keys} bearer keys are refused"));
        return;
    };
    let lost = customer.key_hashes.iter().filter(|hash| !kept.key_hashes.contains(hash)).count();
    if lost > 0 {
        strand(format!("{lost} bearer keys are refused"));
    }
    for service in customer.services.iter().filter(|service| !kept.services.contains(service)) {
        strand(format!("the customer may no longer call {service}"));
    }
}

fn customers_of<'a>(tree: &'a DeclarationTree, service: &'a str) -> impl Iterator<Item = &'a str> {
    let calls = move |node: &NodeDeclaration| {
        let mut services = node.customer.iter().flat_map(|customer| &customer.services);
        services.any(|name| &**name == service)
    };
    let nodes = tree.nodes().iter().map(|declared| &declared.node);
    nodes.filter(move |node| calls(node)).map(|node| &*node.name)
}
