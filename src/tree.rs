//! The declaration tree: read from TOML files or from the root object's JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

use crate::check::{check_size, check_tree};
use crate::codes::ResultCode;
use crate::declaration::NodeDeclaration;
use crate::effective::EffectiveConfig;
use crate::ids::ConfigRevision;
use crate::inherit;
use crate::platform::MAX_VALUE_BYTES;
use crate::schema::check_fields;

/// Largest tree as JSON, in bytes; the rest of the root object's value is for its history.
pub const MAX_TREE_BYTES: usize = MAX_VALUE_BYTES * 3 / 4;

/// Largest declaration file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Most declaration files in a directory.
const MAX_FILES: usize = 10_000;
/// Deepest sub-folder that is read.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// A fault in a declaration, with the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, thiserror::Error)]
#[error("{number} {name}: {file}: node {node:?}, field {field:?}: {problem}",
    number = code.number(), name = code.name())]
pub struct DeclarationError {
    /// Result code, 6xxx.
    #[serde(serialize_with = "serialize_code")]
    pub code: ResultCode,
    /// File, relative to the tree's directory.
    pub file: Box<str>,
    /// Name of the node; empty where it could not be read.
    pub node: Box<str>,
    /// Path of the field; empty where the node as a whole is wrong.
    pub field: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
}

fn serialize_code<S: serde::Serializer>(
    code: &ResultCode,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(code.number())
}

/// A node with the file that declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredNode {
    /// File, relative to the tree's directory.
    pub file: Box<str>,
    /// The declaration.
    pub node: NodeDeclaration,
}

/// Declarations of every node, not yet checked against each other.
///
/// ```
/// use jacinthrock::DeclarationTree;
///
/// let tree = DeclarationTree::from_files([
///     ("root.toml", "name = \"all\"\nkind = \"group\""),
///     ("cooperative.toml", "name = \"coop\"\nkind = \"group\"\nparent = \"all\""),
/// ])?;
/// assert!(tree.resolve(1).is_ok());
/// # Ok::<(), Vec<jacinthrock::DeclarationError>>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclarationTree {
    nodes: Vec<DeclaredNode>,
    unreadable: UnreadableNodes,
}

/// Nodes that could not be read, so that others may still refer to them without a second error.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UnreadableNodes {
    pub(crate) names: BTreeSet<Box<str>>,
    pub(crate) has_unnamed: bool,
}

/// The tree as one JSON document.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TreeDocument {
    nodes: Vec<Value>,
}

/// The value of one setting with the node that it comes from.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourcedValue {
    /// Path of the field.
    pub field: Box<str>,
    /// Value in force.
    pub value: Value,
    /// Node that sets it; `default` where none does.
    pub source: Box<str>,
}

impl DeclarationTree {
    /// Reads every `.toml` file in a directory and its sub-folders.
    ///
    /// # Errors
    ///
    /// Every file that can't be read and every field that breaks the table of fields.
    pub fn from_directory(directory: impl AsRef<Path>) -> Result<Self, Vec<DeclarationError>> {
        let mut files = BTreeMap::new();
        let mut errors = Vec::new();
        read_directory(directory.as_ref(), "", 0, &mut files, &mut errors);
        let result = Self::from_files(files.iter().map(|(file, text)| (&**file, &**text)));
        match result {
            Ok(tree) if errors.is_empty() => Ok(tree),
            Ok(_) => Err(errors),
            Err(more) => Err(errors.into_iter().chain(more).collect()),
        }
    }

    /// Reads declarations from names of files with their texts.
    ///
    /// # Errors
    ///
    /// Every text that is not TOML and every field that breaks the table of fields.
    pub fn from_files<'a>(
        files: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> Result<Self, Vec<DeclarationError>> {
        let mut tree = Self::default();
        let mut errors = Vec::new();
        for (file, text) in files {
            match parse_file(file, text) {
                Ok(value) => tree.read_node(file, value, &mut errors),
                Err(error) => {
                    tree.unreadable.has_unnamed = true;
                    errors.push(error);
                }
            }
        }
        errors.extend(check_size(&tree));
        tree.finish(errors)
    }

    /// Reads the tree from its JSON document.
    ///
    /// # Errors
    ///
    /// As [`DeclarationTree::from_files`].
    pub fn from_document(document: &Value) -> Result<Self, Vec<DeclarationError>> {
        let document = TreeDocument::deserialize(document).map_err(|error| {
            vec![file_error(ResultCode::DeclarationSyntax, DOCUMENT_FILE, error.to_string())]
        })?;
        let mut tree = Self::default();
        let mut errors = Vec::new();
        for value in document.nodes {
            tree.read_node(DOCUMENT_FILE, value, &mut errors);
        }
        tree.finish(errors)
    }

    /// The tree as one JSON document, nodes in the order of their names.
    pub fn to_document(&self) -> Value {
        let encode = |declared: &DeclaredNode| {
            serde_json::to_value(&declared.node).expect("declarations hold only JSON types")
        };
        let document = TreeDocument { nodes: self.nodes.iter().map(encode).collect() };
        serde_json::to_value(document).expect("documents hold only JSON types")
    }

    /// Nodes in the order of their names.
    pub fn nodes(&self) -> &[DeclaredNode] {
        &self.nodes
    }

    pub(crate) fn unreadable(&self) -> &UnreadableNodes {
        &self.unreadable
    }

    /// The first node with a name.
    pub fn node(&self, name: &str) -> Option<&NodeDeclaration> {
        let index = self.nodes.partition_point(|declared| &*declared.node.name < name);
        let declared = self.nodes.get(index).filter(|declared| &*declared.node.name == name)?;
        Some(&declared.node)
    }

    /// Checks the whole tree and resolves every node's settings.
    ///
    /// # Errors
    ///
    /// Every fault in the tree, in the order of files.
    pub fn resolve(
        &self,
        revision: ConfigRevision,
    ) -> Result<EffectiveConfig, Vec<DeclarationError>> {
        let mut errors = check_tree(self);
        if !errors.is_empty() {
            errors.sort();
            return Err(errors);
        }
        Ok(inherit::resolve_tree(self, revision))
    }

    /// Each setting of a node with the node it comes from, and the node's own fields.
    ///
    /// Returns `None` where there is no such node.
    pub fn effective_with_sources(&self, name: &str) -> Option<Vec<SourcedValue>> {
        inherit::sourced_values(self, name)
    }

    fn read_node(&mut self, file: &str, value: Value, errors: &mut Vec<DeclarationError>) {
        let name: Box<str> = value.get("name").and_then(Value::as_str).unwrap_or_default().into();
        let field_errors = check_fields(&value);
        if !field_errors.is_empty() {
            self.unreadable.has_unnamed |= name.is_empty();
            self.unreadable.names.insert(name.clone());
            errors.extend(field_errors.into_iter().map(|error| DeclarationError {
                code: error.code,
                file: file.into(),
                node: name.clone(),
                field: error.field,
                problem: error.problem,
            }));
            return;
        }
        match serde_json::from_value(value) {
            Ok(node) => self.nodes.push(DeclaredNode { file: file.into(), node }),
            Err(error) => {
                self.unreadable.names.insert(name);
                errors.push(file_error(ResultCode::DeclarationSyntax, file, error.to_string()));
            }
        }
    }

    fn finish(mut self, mut errors: Vec<DeclarationError>) -> Result<Self, Vec<DeclarationError>> {
        self.nodes.sort_by(|left, right| left.node.name.cmp(&right.node.name));
        if errors.is_empty() {
            return Ok(self);
        }
        errors.extend(check_tree(&self));
        errors.sort();
        Err(errors)
    }
}

/// Name reported for a node that was read from the root object.
const DOCUMENT_FILE: &str = "config/root";

fn parse_file(file: &str, text: &str) -> Result<Value, DeclarationError> {
    let syntax = |problem: String| file_error(ResultCode::DeclarationSyntax, file, problem);
    let table: toml::Table = toml::from_str(text)
        .map_err(|error| syntax(error.to_string().trim().replace('\n', " ")))?;
    serde_json::to_value(table).map_err(|error| syntax(error.to_string()))
}

fn file_error(code: ResultCode, file: &str, problem: String) -> DeclarationError {
    DeclarationError {
        code,
        file: file.into(),
        node: "".into(),
        field: "".into(),
        problem: problem.into(),
    }
}

fn read_directory(
    directory: &Path,
    prefix: &str,
    depth: usize,
    files: &mut BTreeMap<Box<str>, Box<str>>,
    errors: &mut Vec<DeclarationError>,
) {
    let file_unreadable =
        |file: &str, problem: String| file_error(ResultCode::DeclarationUnreadable, file, problem);
    let entries = match fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(error) => {
            let file = if prefix.is_empty() { "." } else { prefix };
            errors.push(file_unreadable(file, error.to_string()));
            return;
        }
    };
    for entry in entries.flatten() {
        let file = format!("{prefix}{}", entry.file_name().to_string_lossy());
        let is_directory = entry.file_type().is_ok_and(|kind| kind.is_dir());
        if is_directory && depth < MAX_DIRECTORY_DEPTH {
            read_directory(&entry.path(), &format!("{file}/"), depth + 1, files, errors);
            continue;
        }
        if is_directory {
            errors
                .push(file_unreadable(&file, format!("deeper than {MAX_DIRECTORY_DEPTH} folders")));
            continue;
        }
        if !file.ends_with(".toml") {
            continue;
        }
        if files.len() >= MAX_FILES {
            errors.push(file_unreadable(&file, format!("more than {MAX_FILES} files")));
            return;
        }
        match read_file(&entry.path()) {
            Ok(text) => {
                files.insert(file.into(), text.into());
            }
            Err(problem) => errors.push(file_unreadable(&file, problem)),
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    let metadata = fs::metadata(path).map_err(|error| error.to_string())?;
    if !metadata.is_file() {
        return Err("not a regular file".into());
    }
    let size = metadata.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("{size} bytes, more than {MAX_FILE_BYTES}"));
    }
    fs::read_to_string(path).map_err(|error| error.to_string())
}
