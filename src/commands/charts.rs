//! `medlarstile charts draw`: writes Mermaid drawings of the state charts.

use std::fs;
use std::path::Path;

use crate::charts::{drawing, TEXTS};
use crate::error::{Error, ErrorKind};

/// Writes `<name>.mmd` for every chart into `directory` and creates the directory if necessary.
///
/// # Errors
///
/// Returns an error if the directory or a file cannot be written, or if a chart cannot be drawn.
pub fn draw(directory: &Path) -> Result<(), Error> {
    let setting_error = |path: &Path, error: std::io::Error| {
        Error::new(ErrorKind::BadSetting, format!("--out: {}: {error}", path.display()))
    };
    fs::create_dir_all(directory).map_err(|error| setting_error(directory, error))?;
    for (name, text) in TEXTS {
        let drawn = drawing(text)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("{name}: {error}")))?;
        let path = directory.join(format!("{name}.mmd"));
        fs::write(&path, drawn).map_err(|error| setting_error(&path, error))?;
    }
    Ok(())
}
