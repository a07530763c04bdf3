//! Access of the subcommands to the platform: store client, publisher and configuration in force.

use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

use super::CommandContext;
use super::error::CommandError;
use crate::metrics::MetricRegistry;
use crate::platform::PlatformStore;
use crate::publish::{AcceptedConfig, ConfigPublisher, PublishOptions};
use crate::store_http::{HttpStore, HttpStoreOptions};
use crate::tree::DeclarationTree;

impl CommandContext {
    /// Creates a client of the platform that the command line or the environment names.
    pub(crate) fn store(&self) -> Result<Rc<dyn PlatformStore>, CommandError> {
        let Some(platform) = &self.platform else {
            let message = "set --platform URL or JACINTHROCK_PLATFORM";
            return Err(CommandError::Usage(message.into()));
        };
        if !platform.starts_with("http://") && !platform.starts_with("https://") {
            let message = format!("--platform is {platform:?}, expected an http:// URL");
            return Err(CommandError::Usage(message.into()));
        }
        let metrics = Arc::new(MetricRegistry::new());
        Ok(Rc::new(HttpStore::new(platform.clone(), HttpStoreOptions::default(), metrics)))
    }

    /// Creates a publisher that writes to that platform.
    pub(crate) fn publisher(&self) -> Result<ConfigPublisher, CommandError> {
        Ok(ConfigPublisher::new(self.store()?, PublishOptions::default()))
    }

    /// Reads the configuration in force; fails if none has been accepted yet.
    pub(crate) async fn accepted_config(&self) -> Result<AcceptedConfig, CommandError> {
        self.publisher()?.read().await?.ok_or(CommandError::NoAcceptedConfig)
    }
}

/// Loads a directory of declarations and checks the whole tree.
pub(crate) fn load_checked_tree(directory: &Path) -> Result<DeclarationTree, CommandError> {
    let tree =
        DeclarationTree::from_directory(directory).map_err(CommandError::InvalidDeclarations)?;
    tree.resolve(1).map_err(CommandError::InvalidDeclarations)?;
    Ok(tree)
}
