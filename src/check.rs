//! Consistency checks across the nodes of a declaration tree.

use std::collections::{BTreeMap, BTreeSet};

use crate::codes::ResultCode;
use crate::declaration::{EndpointDeclaration, NodeDeclaration, NodeKind};
use crate::tree::{DeclarationError, DeclarationTree, DeclaredNode, MAX_TREE_BYTES};

/// Returns every inconsistency within and between nodes, in no particular order.
pub(crate) fn check_tree(tree: &DeclarationTree) -> Vec<DeclarationError> {
    let mut checker = TreeChecker { tree, errors: Vec::new() };
    checker.check_names();
    checker.check_parents();
    checker.check_roots();
    for declared in tree.nodes() {
        checker.check_sections(declared);
        checker.check_customer(declared);
    }
    checker.check_unique_values();
    checker.check_links();
    checker.errors
}

/// Endpoints of a service, each with the section that declares it and its index there.
pub(crate) fn endpoints_of(
    node: &NodeDeclaration,
) -> impl Iterator<Item = (&'static str, usize, &EndpointDeclaration)> {
    let model = node.model.iter().flat_map(|model| &model.endpoints).enumerate();
    let plain = node.plain.iter().flat_map(|plain| &plain.endpoints).enumerate();
    let model = model.map(|(index, endpoint)| ("model", index, endpoint));
    model.chain(plain.map(|(index, endpoint)| ("plain", index, endpoint)))
}

struct TreeChecker<'a> {
    tree: &'a DeclarationTree,
    errors: Vec<DeclarationError>,
}

impl<'a> TreeChecker<'a> {
    fn report(
        &mut self,
        code: ResultCode,
        declared: &DeclaredNode,
        field: &str,
        problem: impl Into<Box<str>>,
    ) {
        self.errors.push(DeclarationError {
            code,
            file: declared.file.clone(),
            node: declared.node.name.clone(),
            field: field.into(),
            problem: problem.into(),
        });
    }

    fn check_names(&mut self) {
        let mut files = BTreeMap::new();
        for declared in self.tree.nodes() {
            if let Some(file) = files.insert(&*declared.node.name, &declared.file) {
                let problem = format!("is also declared in {file}");
                self.report(ResultCode::DeclarationDuplicate, declared, "name", problem);
            }
        }
    }

    /// Whether the name may belong to a node that could not be read.
    fn may_be_unreadable(&self, name: &str) -> bool {
        let unreadable = self.tree.unreadable();
        unreadable.has_unnamed || unreadable.names.contains(name)
    }

    fn check_parents(&mut self) {
        for declared in self.tree.nodes() {
            let Some(parent) = &declared.node.parent else { continue };
            match self.tree.node(parent) {
                None if self.may_be_unreadable(parent) => {}
                None => {
                    let problem = format!("no node is named {parent:?}");
                    self.report(ResultCode::DeclarationDangling, declared, "parent", problem);
                }
                Some(node) if node.kind != NodeKind::Group => {
                    let problem = format!("{parent:?} is not a group");
                    self.report(ResultCode::DeclarationRange, declared, "parent", problem);
                }
                Some(_) if self.is_own_ancestor(&declared.node) => {
                    let problem = "the node is its own ancestor";
                    self.report(ResultCode::DeclarationCycle, declared, "parent", problem);
                }
                Some(_) => {}
            }
        }
    }

    fn is_own_ancestor(&self, node: &NodeDeclaration) -> bool {
        let mut seen = BTreeSet::new();
        let mut parent = node.parent.as_deref();
        while let Some(name) = parent {
            if name == &*node.name {
                return true;
            }
            if !seen.insert(name) {
                return false;
            }
            parent = self.tree.node(name).and_then(|node| node.parent.as_deref());
        }
        false
    }

    fn check_roots(&mut self) {
        let tree = self.tree;
        let is_root = |declared: &&DeclaredNode| declared.node.parent.is_none();
        let mut roots = tree.nodes().iter().filter(is_root);
        let Some(first) = roots.next() else {
            self.report_missing_root();
            return;
        };
        if first.node.kind != NodeKind::Group {
            self.report(ResultCode::DeclarationRange, first, "kind", "the root must be a group");
        }
        for other in roots {
            let problem = format!("is missing, but {:?} is the root already", first.node.name);
            self.report(ResultCode::DeclarationDuplicate, other, "parent", problem);
        }
    }

    fn report_missing_root(&mut self) {
        let unreadable = self.tree.unreadable();
        if unreadable.has_unnamed || !unreadable.names.is_empty() {
            return;
        }
        self.errors.push(DeclarationError {
            code: ResultCode::DeclarationIncomplete,
            file: ".".into(),
            node: "".into(),
            field: "parent".into(),
            problem: "no node is the root: one group must have no parent".into(),
        });
    }

    fn check_sections(&mut self, declared: &DeclaredNode) {
        let node = &declared.node;
        let is_service = node.kind == NodeKind::Service;
        let is_customer = node.kind == NodeKind::Customer;
        for (field, is_set) in [("model", node.model.is_some()), ("plain", node.plain.is_some())] {
            if is_set && !is_service {
                let problem = "only a service has this part";
                self.report(ResultCode::DeclarationRange, declared, field, problem);
            }
        }
        if node.customer.is_some() && !is_customer {
            let problem = "only a customer has this part";
            self.report(ResultCode::DeclarationRange, declared, "customer", problem);
        }
        if node.customer.is_none() && is_customer {
            let problem = "a customer needs this part";
            self.report(ResultCode::DeclarationIncomplete, declared, "customer", problem);
        }
        if !node.links.is_empty() && node.parent.is_some() {
            let problem = "only the root has links";
            self.report(ResultCode::DeclarationRange, declared, "links", problem);
        }
        if is_service {
            self.check_service(declared);
        }
    }

    fn check_service(&mut self, declared: &DeclaredNode) {
        match (&declared.node.model, &declared.node.plain) {
            (None, None) => {
                let problem = "a service needs a model or a plain part";
                self.report(ResultCode::DeclarationIncomplete, declared, "model", problem);
            }
            (Some(_), Some(_)) => {
                let problem = "a service has either a model or a plain part";
                self.report(ResultCode::DeclarationRange, declared, "plain", problem);
            }
            (None, Some(plain)) if plain.endpoints.is_empty() => {
                let problem = "a service needs an endpoint";
                self.report(
                    ResultCode::DeclarationIncomplete,
                    declared,
                    "plain.endpoints",
                    problem,
                );
            }
            (Some(model), None) => {
                if model.stages > model.layers {
                    let problem = format!("{} stages for {} layers", model.stages, model.layers);
                    self.report(ResultCode::DeclarationRange, declared, "model.stages", problem);
                }
                if model.endpoints.len() < usize::from(model.stages) {
                    let count = model.endpoints.len();
                    let problem = format!("{count} endpoints for {} stages", model.stages);
                    let field = "model.endpoints";
                    self.report(ResultCode::DeclarationIncomplete, declared, field, problem);
                }
            }
            (None, Some(_)) => {}
        }
    }

    fn check_customer(&mut self, declared: &DeclaredNode) {
        let Some(customer) = &declared.node.customer else { return };
        let mut seen = BTreeSet::new();
        for (index, service) in customer.services.iter().enumerate() {
            let field = format!("customer.services[{index}]");
            if !seen.insert(service) {
                let problem = format!("{service:?} is listed twice");
                self.report(ResultCode::DeclarationDuplicate, declared, &field, problem);
            }
            match self.tree.node(service) {
                Some(node) if node.kind == NodeKind::Service => {}
                None if self.may_be_unreadable(service) => {}
                _ => {
                    let problem = format!("no service is named {service:?}");
                    self.report(ResultCode::DeclarationDangling, declared, &field, problem);
                }
            }
        }
    }

    fn check_unique_values(&mut self) {
        let mut names = UniqueValues::default();
        let mut addresses = UniqueValues::default();
        let mut prefixes = UniqueValues::default();
        let mut hashes = UniqueValues::default();
        for declared in self.tree.nodes() {
            for (section, index, endpoint) in endpoints_of(&declared.node) {
                let field = format!("{section}.endpoints[{index}]");
                names.add(&endpoint.name, declared, format!("{field}.name"));
                addresses.add(&endpoint.address, declared, format!("{field}.address"));
            }
            if let Some(plain) = &declared.node.plain {
                prefixes.add(&plain.prefix, declared, "plain.prefix".into());
                self.check_operations(declared);
            }
            let customer = declared.node.customer.iter();
            for (index, hash) in customer.flat_map(|section| &section.key_hashes).enumerate() {
                hashes.add(hash, declared, format!("customer.key_hashes[{index}]"));
            }
        }
        for values in [names, addresses, prefixes, hashes] {
            for (declared, field, problem) in values.duplicates {
                self.report(ResultCode::DeclarationDuplicate, declared, &field, problem);
            }
        }
    }

    fn check_operations(&mut self, declared: &DeclaredNode) {
        let mut seen = BTreeSet::new();
        let operations = declared.node.plain.iter().flat_map(|plain| &plain.operations);
        for (index, operation) in operations.enumerate() {
            if !seen.insert((&operation.method, &operation.path)) {
                let field = format!("plain.operations[{index}]");
                let problem = format!("{} {} is listed twice", operation.method, operation.path);
                self.report(ResultCode::DeclarationDuplicate, declared, &field, problem);
            }
        }
    }

    fn check_links(&mut self) {
        let nodes = self.tree.nodes();
        let endpoints = nodes.iter().flat_map(|declared| endpoints_of(&declared.node));
        let domains: BTreeSet<&str> = endpoints.map(|(_, _, endpoint)| &*endpoint.domain).collect();
        let is_fully_read =
            !self.tree.unreadable().has_unnamed && self.tree.unreadable().names.is_empty();
        for declared in nodes {
            let mut seen = BTreeSet::new();
            for (index, link) in declared.node.links.iter().enumerate() {
                let field = format!("links[{index}].between");
                let mut pair = [&*link.between[0], &*link.between[1]];
                pair.sort_unstable();
                for domain in
                    pair.iter().filter(|domain| is_fully_read && !domains.contains(**domain))
                {
                    let problem = format!("no endpoint is in the failure domain {domain:?}");
                    self.report(ResultCode::DeclarationDangling, declared, &field, problem);
                }
                if !seen.insert(pair) {
                    let problem = format!("the link {} to {} is listed twice", pair[0], pair[1]);
                    self.report(ResultCode::DeclarationDuplicate, declared, &field, problem);
                }
            }
        }
    }
}

/// Returns an error if the tree is too large for the root object.
pub(crate) fn check_size(tree: &DeclarationTree) -> Option<DeclarationError> {
    let bytes = tree.to_document().to_string().len();
    let problem = format!("the tree is {bytes} bytes as JSON, more than {MAX_TREE_BYTES}");
    (bytes > MAX_TREE_BYTES).then(|| DeclarationError {
        code: ResultCode::DeclarationRange,
        file: ".".into(),
        node: "".into(),
        field: "".into(),
        problem: problem.into(),
    })
}

/// Values that must be unique in the tree, with the node that last declared each.
#[derive(Default)]
struct UniqueValues<'a> {
    declared_by: BTreeMap<&'a str, &'a str>,
    duplicates: Vec<(&'a DeclaredNode, String, String)>,
}

impl<'a> UniqueValues<'a> {
    fn add(&mut self, value: &'a str, declared: &'a DeclaredNode, field: String) {
        let Some(node) = self.declared_by.insert(value, &declared.node.name) else { return };
        let problem = format!("{value:?} is also declared by node {node:?}");
        self.duplicates.push((declared, field, problem));
    }
}
