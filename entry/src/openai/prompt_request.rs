use {serde::Deserialize, thiserror::Error};

/// Format of a prompt request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptShape {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// Fields of a prompt request that the entry process reads; the body itself is forwarded unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptRequest {
    /// Requested model.
    pub model: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Roles and texts of the messages, or the prompt's text or token ids (as little-endian bytes).
    /// Other content, such as images, is left out.
    pub text: Vec<u8>,
}

/// Why a body is not a prompt request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PromptError {
    /// The body is not JSON of the expected format.
    #[error("the body cannot be read: {reason}")]
    Malformed {
        /// Error of the JSON decoder.
        reason: String,
    },
    /// The body has no messages or an empty prompt.
    #[error("the body has no prompt")]
    Empty,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    messages: Vec<ChatMessage>,
}

#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<ChatContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: Option<String>,
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    prompt: CompletionPrompt,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum CompletionPrompt {
    One(String),
    Many(Vec<String>),
    Tokens(Vec<u32>),
}

impl PromptRequest {
    /// Parses a body.
    ///
    /// # Errors
    /// [`PromptError`] when the body is not a prompt request of this format.
    pub fn parse(
        shape: PromptShape,
        body: &[u8],
    ) -> Result<Self, PromptError> {
        let request = match shape {
            PromptShape::Chat => Self::parse_chat(body)?,
            PromptShape::Completion => Self::parse_completion(body)?,
        };
        if request.text.is_empty() {
            return Err(PromptError::Empty);
        }
        Ok(request)
    }

    fn parse_chat(body: &[u8]) -> Result<Self, PromptError> {
        let chat: ChatBody = serde_json::from_slice(body).map_err(malformed)?;
        let mut text = Vec::with_capacity(body.len());
        for message in &chat.messages {
            text.extend_from_slice(message.role.as_bytes());
            text.push(b'\n');
            match &message.content {
                Some(ChatContent::Text(content)) => text.extend_from_slice(content.as_bytes()),
                Some(ChatContent::Parts(parts)) => {
                    let texts = parts.iter().filter_map(|p| p.text.as_ref());
                    texts.for_each(|t| text.extend_from_slice(t.as_bytes()));
                }
                None => {}
            }
            text.push(b'\n');
        }
        Ok(PromptRequest {
            model: chat.model,
            stream: chat.stream.unwrap_or(false),
            text,
        })
    }

    fn parse_completion(body: &[u8]) -> Result<Self, PromptError> {
        let completion: CompletionBody = serde_json::from_slice(body).map_err(malformed)?;
        let text = match completion.prompt {
            CompletionPrompt::One(text) => text.into_bytes(),
            CompletionPrompt::Many(texts) => texts.concat().into_bytes(),
            CompletionPrompt::Tokens(tokens) => {
                tokens.iter().flat_map(|t| t.to_le_bytes()).collect()
            }
        };
        Ok(PromptRequest {
            model: completion.model,
            stream: completion.stream.unwrap_or(false),
            text,
        })
    }
}

fn malformed(error: serde_json::Error) -> PromptError {
    PromptError::Malformed {
        reason: error.to_string(),
    }
}
