@0xbfe59f38acb6a31d;
# What entry instances say to one another. docs/design/peer-links.md tells how to generate the code again.

struct Heartbeat {
  # Sent at a fixed interval in both directions; its absence is how a silent peer is noticed.
  member @0 :Text;
  incarnation @1 :UInt64;
  next @2 :UInt64;
  # The offset of the next log record that the sender will apply.
  leaving @3 :Bool;
  # The sender shuts down gracefully.
  withdrawnKeys @4 :List(Text);
  # Hashes of keys withdrawn lately. Bad news only: it can only make a peer refuse.
  leavingInstances @5 :List(Text);
  # Instances that the sender saw leave lately. Bad news only.
  clock @6 :UInt64;
  # The sender's own clock, milliseconds from a random start; not 0.
  echo @7 :UInt64;
  # The receiver's clock as the sender last heard it, 0 if never: the receiver then knows that
  # this heartbeat was sent after that time.
}

struct Resource {
  # Something of which only so much may be in use over the whole fleet.
  union {
    team @0 :Text;
    # What the team may have running.
    slots @1 :Text;
    # What the runner with this instance id runs at once.
  }
}

struct Ask {
  # States all that the sender holds of a resource and ends its earlier asks.
  resource @0 :Resource;
  sequence @1 :UInt64;
  held @2 :UInt32;
  want @3 :UInt32;
  leaving @4 :Bool;
}

struct Reply {
  resource @0 :Resource;
  sequence @1 :UInt64;
  granted @2 :UInt32;
  keep @3 :UInt32;
}

struct Load {
  # What the sender has of one team's requests to one service.
  service @0 :Text;
  team @1 :Text;
  running @2 :UInt32;
  waiting @3 :UInt32;
  need @4 :UInt32;
  # Thousandths of a slot.
}

struct Batch {
  # To the home of the asks' resources.
  member @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  asks @3 :List(Ask);
  recalls @4 :List(Resource);
  # Hints: the receiver holds more than its part of these while another member lacks.
  loads @5 :List(Load);
  # Everything that the sender has; replaces what it said before.
  since @6 :UInt64;
  # The first incarnation of the sender's process.
}

struct Replies {
  epoch @0 :UInt64;
  replies @1 :List(Reply);
}

struct Claim {
  # Asks the home of an idempotency key whether this request may run.
  member @0 :Text;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  key @3 :Text;
  attempt @4 :Text;
  # Names this attempt to claim the key; not used again after a release.
  step @5 :ClaimStep;
  asksAll @6 :Bool;
  # The sender also asks everyone else who was the home within the window.
  since @7 :UInt64;
  # The earliest incarnation of the receiver that was the home within the window.
}

enum ClaimStep {
  begin @0;
  # May the request run?
  release @1;
  # It certainly didn't run; another request with the key may.
  use @2;
  # It is being sent; no other request with the key may run.
  check @3;
  # May it run as far as is known? Nothing is granted.
}

enum Verdict {
  granted @0;
  # No request with this key was granted within the window.
  taken @1;
  # One was.
  unknown @2;
  # The receiver can't say: it isn't the home or became it within the window.
  pending @3;
  # The answer may soon be another: a request with this key was granted and hasn't been sent, or the
  # receiver has another set of members.
}

interface Link {
  beat @0 (beat :Heartbeat) -> (beat :Heartbeat);
  permits @1 (batch :Batch) -> (replies :Replies);
  claim @2 (claim :Claim) -> (verdict :Verdict);
}
