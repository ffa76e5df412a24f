//! What a call shows to say who it is from: `Authorization: Bearer TOKEN`, in both homes.

use hyper::HeaderMap;
use hyper::header::AUTHORIZATION;

use crate::state::account::CredentialError;

/// The scheme; its letters may be of either case.
const SCHEME: &str = "bearer";
/// Longest token that is looked at, in bytes; keys are far shorter, and whatever is sent would be hashed.
const MAX_TOKEN_BYTES: usize = 1_024;

/// The token of a call. Two of them name nobody.
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
/// [`CredentialError::Missing`], or [`CredentialError::Malformed`] where there is something else.
pub fn token(headers: &HeaderMap) -> Result<&str, CredentialError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(CredentialError::Missing)?;
    if values.next().is_some() {
        return Err(CredentialError::Malformed);
    }
    let text = value.to_str().map_err(|_| CredentialError::Malformed)?;
    let (scheme, token) = text.split_once(' ').ok_or(CredentialError::Malformed)?;
    let token = token.trim();
    let is_sound =
        scheme.eq_ignore_ascii_case(SCHEME) && (1..=MAX_TOKEN_BYTES).contains(&token.len());
    if is_sound { Ok(token) } else { Err(CredentialError::Malformed) }
}
