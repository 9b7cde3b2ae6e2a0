//! Configuration files given on the command line.

use crate::config::{Source, Unreadable};
use std::path::PathBuf;

/// Base file and overlays.
#[derive(clap::Args, Clone, Debug)]
pub struct Files {
    /// Base file
    #[arg(value_name = "BASE")]
    pub base: PathBuf,
    /// Overlay file of a site; repeat the flag for each site
    #[arg(long = "overlay", short = 'o', value_name = "FILE")]
    pub overlays: Vec<PathBuf>,
}

impl Files {
    /// Reads the base file and the overlays.
    ///
    /// # Errors
    ///
    /// Fails at the first file that cannot be read.
    pub fn open(&self) -> Result<(Source, Vec<Source>), Unreadable> {
        let base = Source::open(&self.base)?;
        Ok((base, Self::open_all(&self.overlays)?))
    }

    /// Reads several files.
    ///
    /// # Errors
    ///
    /// Fails at the first file that cannot be read.
    pub(super) fn open_all(paths: &[PathBuf]) -> Result<Vec<Source>, Unreadable> {
        paths.iter().map(|path| Source::open(path)).collect()
    }
}
