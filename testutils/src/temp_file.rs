//! Files of tests.

use std::path::PathBuf;

/// A file of a test's own among the temporary files, removed at its end.
pub struct TempFile(PathBuf);

impl TempFile {
    /// Writes a file; `name` tells it from others of the same process.
    ///
    /// ```
    /// let file = spokelift_testutils::temp_file::TempFile::new("job.toml", "spec = \"x\"");
    /// assert_eq!(std::fs::read_to_string(file.path()).unwrap(), "spec = \"x\"");
    /// ```
    ///
    /// # Panics
    ///
    /// If it cannot be written.
    pub fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("spokelift-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("temporary files can be written");
        TempFile(path)
    }

    /// Where it lies.
    ///
    /// # Panics
    ///
    /// If the directory for temporary files has a name that is no text.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the directory's name is text")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
