//! Whether a target may be sent anything: by its own word, by the list that it stands in, and by orders about its
//! data hall.
//!
//! Every way to a target asks here, before it is chosen and again once a connection is there, so that a word that is
//! heard on any answer holds for all that is sent later.

/// What a target may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Anything.
    Open,
    /// Nothing, as its data hall is evacuated.
    Evacuated,
    /// Nothing any more.
    Leaving,
}

/// What one start of a target has said of itself in its answers; it holds wherever and however that start is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnWord {
    leaving: bool,
}

/// What is known of whether one start of a target takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    listed_leaving: bool,
    evacuated: bool,
    said: OwnWord,
}

impl Availability {
    /// Takes what the list says, which may be older than the target's own word and never undoes that.
    pub fn list(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Its data hall is evacuated, or taken back into use.
    pub fn evacuate(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// The target said in an answer that it leaves: that is final, since answers and lists overtake each other. Tells
    /// whether it had not said so before.
    pub fn says_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.said.leaving, true)
    }

    /// What it may be sent now.
    pub fn standing(&self) -> Standing {
        if self.leaving() {
            return Standing::Leaving;
        }
        if self.evacuated { Standing::Evacuated } else { Standing::Open }
    }

    /// Whether it is to be sent nothing any more.
    pub fn leaving(&self) -> bool {
        self.listed_leaving || self.said.leaving
    }

    /// What the target has said of itself; `None` where that is nothing.
    pub fn own_word(&self) -> Option<OwnWord> {
        (self.said != OwnWord::default()).then_some(self.said)
    }

    /// The same start has said this before, under another listing.
    pub fn recall(&mut self, said: OwnWord) {
        self.said.leaving |= said.leaving;
    }
}
