-- Models requests that may run only once. A router runs one only after it has read back from the
-- log that its claim came first. Claims and their ends may be delivered late and more than once.
-- A line that ends in --[mark] is a rule that a test removes; AlloySpec finds it by the mark.
module intent

sig Key {}
sig Router {}

var sig Crashed in Router {}

-- What every reader of the log agrees on. A reclaimable key has a claim that ended without a run.
one sig Log {
  var claim: Key -> Router,
  var reclaimable: set Key
}

-- What is outside the log: claims and ends that were sent, and what routers know and did.
one sig World {
  var claimsSent: Router -> Key,
  var won: Router -> Key,
  var refused: Router -> Key,
  var endsSent: Router -> Key,
  var ran: Router -> Key
}

pred init {
  no Crashed and no claim and no reclaimable
  no claimsSent and no won and no refused and no endsSent and no ran
}

pred logUnchanged { claim' = claim and reclaimable' = reclaimable }

-- A router claims a key at most once; a second attempt is a claim of another
-- incarnation, which is another router in this model.
pred sendClaim[r: Router, k: Key] {
  r not in Crashed and r -> k not in World.claimsSent
  claimsSent' = claimsSent + World -> r -> k
  won' = won and refused' = refused and endsSent' = endsSent and ran' = ran
    and Crashed' = Crashed and logUnchanged
}

pred deliverClaim[r: Router, k: Key] {
  r -> k in World.claimsSent
  no Log.claim[k] or k in Log.reclaimable --[first]
  claim' = claim - Log -> k -> Router + Log -> k -> r
  reclaimable' = reclaimable - Log -> k
  claimsSent' = claimsSent and won' = won and refused' = refused and endsSent' = endsSent
    and ran' = ran
  Crashed' = Crashed
}

pred readBack[r: Router, k: Key] {
  r not in Crashed and r -> k in World.claimsSent
  Log.claim[k] = r and k not in Log.reclaimable --[readback]
  r -> k not in World.refused
  won' = won + World -> r -> k
  claimsSent' = claimsSent and refused' = refused and endsSent' = endsSent and ran' = ran
    and Crashed' = Crashed and logUnchanged
}

pred execute[r: Router, k: Key] {
  r not in Crashed and r -> k in World.won and r -> k not in World.ran
  r -> k not in World.refused
  ran' = ran + World -> r -> k
  claimsSent' = claimsSent and won' = won and refused' = refused and endsSent' = endsSent
    and Crashed' = Crashed and logUnchanged
}

-- The router answers its caller that the request did not run, and ends its claim.
pred refuse[r: Router, k: Key] {
  r not in Crashed and r -> k in World.claimsSent and r -> k not in World.ran
  refused' = refused + World -> r -> k and endsSent' = endsSent + World -> r -> k
  claimsSent' = claimsSent and won' = won and ran' = ran and Crashed' = Crashed and logUnchanged
}

pred deliverEnd[r: Router, k: Key] {
  r -> k in World.endsSent and some Log.claim[k]
  Log.claim[k] = r --[own]
  reclaimable' = reclaimable + Log -> k and claim' = claim
  claimsSent' = claimsSent and won' = won and refused' = refused and endsSent' = endsSent
    and ran' = ran
  Crashed' = Crashed
}

pred crash[r: Router] {
  Crashed' = Crashed + r and logUnchanged
  claimsSent' = claimsSent and won' = won and refused' = refused and endsSent' = endsSent
    and ran' = ran
}

pred stutter {
  Crashed' = Crashed and logUnchanged
  claimsSent' = claimsSent and won' = won and refused' = refused and endsSent' = endsSent
    and ran' = ran
}

pred step {
  stutter or (some r: Router | crash[r])
  or (some r: Router, k: Key |
    sendClaim[r, k] or deliverClaim[r, k] or readBack[r, k] or execute[r, k] or refuse[r, k]
    or deliverEnd[r, k])
}

fact { init and always step }

assert RunsAtMostOnce { always all k: Key | lone World.ran.k }
assert RefusalIsTrue { always no World.refused & World.ran }

check RunsAtMostOnce for 1 Key, 3 Router, 1..13 steps
check RefusalIsTrue for 1 Key, 2 Router, 1..10 steps
