//! Temporary files for tests.

use std::path::PathBuf;

/// A temporary file of one test, removed when dropped.
pub struct TempFile(PathBuf);

impl TempFile {
    /// Writes a file; `name` distinguishes it from others of the same process.
    ///
    /// ```
    /// let file = spokelift_testutils::temp_file::TempFile::new("job.toml", "spec = \"x\"");
    /// assert_eq!(std::fs::read_to_string(file.path()).unwrap(), "spec = \"x\"");
    /// ```
    ///
    /// # Panics
    ///
    /// If the file cannot be written.
    pub fn new(name: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("spokelift-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("temporary files can be written");
        TempFile(path)
    }

    /// The path of the file.
    ///
    /// # Panics
    ///
    /// If the path of the directory for temporary files is not UTF-8.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is valid UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
