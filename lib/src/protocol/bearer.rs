//! The bearer token of a request: `Authorization: Bearer TOKEN`.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::state::account::CredentialError;

/// The authentication scheme; compared without regard to case.
const SCHEME: &str = "bearer";
/// Maximum length of a token, in bytes. Keys are far shorter; the limit bounds the cost of hashing.
const MAX_TOKEN_BYTES: usize = 1_024;

/// Returns the token of a request. A request with two `Authorization` headers is rejected.
///
/// ```
/// use hyper::HeaderMap;
/// use hyper::header::AUTHORIZATION;
/// use spokelift_lib::protocol::bearer::token;
/// let mut headers = HeaderMap::new();
/// assert!(token(&headers).is_err());
/// headers.insert(AUTHORIZATION, "bearer s3cret".parse().unwrap());
/// assert_eq!(token(&headers), Ok("s3cret"));
/// headers.append(AUTHORIZATION, "Bearer s3cret".parse().unwrap());
/// assert!(token(&headers).is_err());
/// ```
///
/// # Errors
///
/// [`CredentialError::Missing`] if there is no header, [`CredentialError::Malformed`] if it is not a
/// single bearer token.
pub fn token(headers: &HeaderMap) -> Result<&str, CredentialError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(CredentialError::Missing)?;
    if values.next().is_some() {
        return Err(CredentialError::Malformed);
    }
    let text = value.to_str().map_err(|_| CredentialError::Malformed)?;
    let (scheme, token) = text.split_once(' ').ok_or(CredentialError::Malformed)?;
    let token = token.trim();
    let is_well_formed =
        scheme.eq_ignore_ascii_case(SCHEME) && (1..=MAX_TOKEN_BYTES).contains(&token.len());
    if is_well_formed { Ok(token) } else { Err(CredentialError::Malformed) }
}
