-- Requests that may not be repeated. A router runs one only after it has read back from the log
-- that its claim came first. Claims and ends may be delivered late and more than once.
module intent

sig Key {}
sig Router {}

var sig Gone in Router {}

one sig Log {
  var claim: Key -> Router,
  var abandoned: set Key
}

one sig World {
  var asks: Router -> Key,
  var won: Router -> Key,
  var gaveUp: Router -> Key,
  var ends: Router -> Key,
  var ran: Router -> Key
}

pred init {
  no Gone and no claim and no abandoned
  no asks and no won and no gaveUp and no ends and no ran
}

pred keepLog { claim' = claim and abandoned' = abandoned }

-- Each router makes one claim on a key; a second try is a claim of another incarnation.
pred ask[r: Router, k: Key] {
  r not in Gone and r -> k not in World.asks
  asks' = asks + World -> r -> k
  won' = won and gaveUp' = gaveUp and ends' = ends and ran' = ran and Gone' = Gone and keepLog
}

pred deliverClaim[r: Router, k: Key] {
  r -> k in World.asks
  no Log.claim[k] or k in Log.abandoned --[first]
  claim' = claim - Log -> k -> Router + Log -> k -> r
  abandoned' = abandoned - Log -> k
  asks' = asks and won' = won and gaveUp' = gaveUp and ends' = ends and ran' = ran
  Gone' = Gone
}

pred readBack[r: Router, k: Key] {
  r not in Gone and r -> k in World.asks
  Log.claim[k] = r and k not in Log.abandoned --[readback]
  r -> k not in World.gaveUp
  won' = won + World -> r -> k
  asks' = asks and gaveUp' = gaveUp and ends' = ends and ran' = ran and Gone' = Gone and keepLog
}

pred execute[r: Router, k: Key] {
  r not in Gone and r -> k in World.won and r -> k not in World.ran
  r -> k not in World.gaveUp
  ran' = ran + World -> r -> k
  asks' = asks and won' = won and gaveUp' = gaveUp and ends' = ends and Gone' = Gone and keepLog
}

-- The router tells its caller that the request was not run, and ends its claim.
pred giveUp[r: Router, k: Key] {
  r not in Gone and r -> k in World.asks and r -> k not in World.ran
  gaveUp' = gaveUp + World -> r -> k and ends' = ends + World -> r -> k
  asks' = asks and won' = won and ran' = ran and Gone' = Gone and keepLog
}

pred deliverEnd[r: Router, k: Key] {
  r -> k in World.ends and some Log.claim[k]
  Log.claim[k] = r --[own]
  abandoned' = abandoned + Log -> k and claim' = claim
  asks' = asks and won' = won and gaveUp' = gaveUp and ends' = ends and ran' = ran
  Gone' = Gone
}

pred die[r: Router] {
  Gone' = Gone + r and keepLog
  asks' = asks and won' = won and gaveUp' = gaveUp and ends' = ends and ran' = ran
}

pred stutter {
  Gone' = Gone and keepLog
  asks' = asks and won' = won and gaveUp' = gaveUp and ends' = ends and ran' = ran
}

pred step {
  stutter or (some r: Router | die[r])
  or (some r: Router, k: Key |
    ask[r, k] or deliverClaim[r, k] or readBack[r, k] or execute[r, k] or giveUp[r, k]
    or deliverEnd[r, k])
}

fact { init and always step }

assert RunsAtMostOnce { always all k: Key | lone World.ran.k }
assert RefusalIsTrue { always no World.gaveUp & World.ran }

check RunsAtMostOnce for 1 Key, 3 Router, 1..13 steps
check RefusalIsTrue for 1 Key, 2 Router, 1..10 steps
