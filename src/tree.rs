//! The declaration tree, read from TOML files or from the JSON in the root object.

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

/// Maximum size of a tree as JSON, in bytes; the rest of the root object's value holds its history.
pub const MAX_TREE_BYTES: usize = MAX_VALUE_BYTES * 3 / 4;

/// Maximum size of a declaration file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Maximum number of declaration files in a directory and its subdirectories.
const MAX_FILES: usize = 10_000;
/// Maximum nesting depth of subdirectories.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// Error in a declaration, with its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, thiserror::Error)]
#[error("{number} {name}: {file}: node {node:?}, field {field:?}: {problem}",
    number = code.number(), name = code.name())]
pub struct DeclarationError {
    /// Result code in the 6xxx range.
    #[serde(serialize_with = "serialize_code")]
    pub code: ResultCode,
    /// File path relative to the tree's directory.
    pub file: Box<str>,
    /// Name of the node; empty if it could not be read.
    pub node: Box<str>,
    /// Path of the field; empty if the error concerns the whole node.
    pub field: Box<str>,
    /// Description of the error.
    pub problem: Box<str>,
}

pub(crate) fn serialize_code<S: serde::Serializer>(
    code: &ResultCode,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(code.number())
}

/// Node and the file that declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredNode {
    /// File path relative to the tree's directory.
    pub file: Box<str>,
    /// Declaration of the node.
    pub node: NodeDeclaration,
}

/// Declarations of all nodes, not yet checked for consistency with each other.
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

/// Nodes that could not be read. References to them are not reported as further errors.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct UnreadableNodes {
    pub(crate) names: BTreeSet<Box<str>>,
    /// Whether the name of at least one of them is unknown.
    pub(crate) has_unnamed: bool,
}

/// JSON document of a tree.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TreeDocument {
    nodes: Vec<Value>,
}

/// Effective value of a field, with the node that sets it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SourcedValue {
    /// Path of the field.
    pub field: Box<str>,
    /// Effective value.
    pub value: Value,
    /// Node that sets the value, or `default` if none does.
    pub source: Box<str>,
}

impl DeclarationTree {
    /// Reads every `.toml` file in a directory and its subdirectories.
    ///
    /// # Errors
    ///
    /// Returns an error for each file that can't be read, and the errors of
    /// [`DeclarationTree::from_files`].
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

    /// Reads declarations from pairs of file name and text.
    ///
    /// # Errors
    ///
    /// Returns an error for each text that is not valid TOML, each field that violates the schema,
    /// and a tree larger than [`MAX_TREE_BYTES`]. If there is any such error, inconsistencies
    /// between the remaining nodes are returned too.
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
    /// Returns an error if the document does not have the expected structure, and otherwise as
    /// [`DeclarationTree::from_files`], except that the size is not checked.
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

    /// Returns the tree as a JSON document, with its nodes sorted by name.
    pub fn to_document(&self) -> Value {
        let encode = |declared: &DeclaredNode| {
            serde_json::to_value(&declared.node).expect("declarations hold only JSON types")
        };
        let document = TreeDocument { nodes: self.nodes.iter().map(encode).collect() };
        serde_json::to_value(document).expect("documents hold only JSON types")
    }

    /// Nodes, sorted by name.
    pub fn nodes(&self) -> &[DeclaredNode] {
        &self.nodes
    }

    pub(crate) fn unreadable(&self) -> &UnreadableNodes {
        &self.unreadable
    }

    /// Returns the first node with the given name.
    pub fn node(&self, name: &str) -> Option<&NodeDeclaration> {
        let index = self.nodes.partition_point(|declared| &*declared.node.name < name);
        let declared = self.nodes.get(index).filter(|declared| &*declared.node.name == name)?;
        Some(&declared.node)
    }

    /// Checks the consistency of the tree and resolves the settings of every node.
    ///
    /// # Errors
    ///
    /// Returns every inconsistency in the tree, sorted by result code, then by file.
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

    /// Returns each effective setting of a node with the node that sets it, followed by the node's
    /// other fields.
    ///
    /// Returns `None` if there is no such node.
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

/// File name reported for nodes that were read from the root object.
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
