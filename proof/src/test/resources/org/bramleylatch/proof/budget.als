-- Models the budget protocol. Tokens are atoms, so that the checker detects one that is spent
-- twice. A record may be delivered any number of times, at any later time. A paused keeper does
-- nothing for a while and may continue later. A crashed keeper loses its reservations, but the
-- reports, returns and heartbeats that it sent may still be delivered. A heartbeat limits what its
-- keeper may reserve until the next one; time raises the limit by a known pace. The next run of a
-- crashed keeper takes over: it returns the tokens beyond the limit that held when the keeper
-- crashed at the latest, and no return of the keeper counts afterwards.
-- A line that ends in --[mark] is a rule that a test removes; a line that begins with --[mark] is a
-- fault that a test adds. AlloySpec finds them by the mark.
module budget

sig Token {}
sig Key {}
sig Keeper {}

-- Paid: tokens that were ever paid in. Free: paid tokens that are not granted to any keeper.
var sig Paid in Token {}
var sig Free in Token {}
var sig Crashed in Keeper {}
var sig Paused in Keeper {}
var sig Replaced in Keeper {}

-- Keepers that sent a heartbeat which they have not read back.
var sig Waiting in Keeper {}

-- What every reader of the log agrees on. Granted tokens are neither billed nor returned yet.
one sig Log {
  var granted: Keeper -> Token,
  var billed: Key -> Keeper -> Token,
  var appliedReturns: Keeper -> Token,
  var limits: Keeper -> Token
}

-- What is outside the log: the keepers' reservations, and reports and returns that were sent. Spent
-- tokens were reserved at some time, so that a request may have used them. Paced tokens are within
-- the limit because of the time that has passed since the last heartbeat.
one sig World {
  var heartbeats: Keeper -> Token,
  var paced: Keeper -> Token,
  var spent: Keeper -> Token,
  var reserved: Keeper -> Key -> Token,
  var reports: Keeper -> Key -> Token,
  var returns: Keeper -> Token
}

-- Tokens that the keeper has reserved for a request, reported as used, or returned.
fun committed[k: Keeper]: set Token {
  Key.(World.reserved[k]) + Key.(World.reports[k]) + World.returns[k]
}

-- Each keeper begins with any limit, that of its first heartbeat.
pred init {
  no Paid and no Free and no Crashed and no Paused and no Replaced and no spent
  no Waiting and no heartbeats and no paced
  no granted and no billed and no appliedReturns
  no reserved and no reports and no returns
}

pred limitsUnchanged {
  limits' = limits and heartbeats' = heartbeats and paced' = paced and Waiting' = Waiting
}
pred logUnchanged {
  granted' = granted and billed' = billed and appliedReturns' = appliedReturns and limitsUnchanged
}
pred worldUnchanged {
  reserved' = reserved and reports' = reports and returns' = returns and spent' = spent
}
pred keepersUnchanged { Crashed' = Crashed and Paused' = Paused and Replaced' = Replaced }

pred topUp[t: Token] {
  t not in Paid
  Paid' = Paid + t and Free' = Free + t
  logUnchanged and worldUnchanged and keepersUnchanged
}

pred grant[k: Keeper, t: Token] {
  t in Free and k not in Crashed
  Free' = Free - t and Paid' = Paid
  granted' = granted + Log -> k -> t and billed' = billed and appliedReturns' = appliedReturns
  worldUnchanged and keepersUnchanged and limitsUnchanged
}

pred reserveToken[k: Keeper, key: Key, t: Token] {
  k not in Crashed
  t in Log.granted[k]
  t not in committed[k] --[unbound]
  t in Log.limits[k] + World.paced[k] --[unlimited]
  k in Waiting implies t in World.heartbeats[k] + World.paced[k] --[overtaken]
  no World.reserved[k][key] and no World.reports[k][key]
  reserved' = reserved + World -> k -> key -> t and spent' = spent + World -> k -> t
  reports' = reports and returns' = returns
  Paid' = Paid and Free' = Free and logUnchanged and keepersUnchanged
}

pred finishRequest[k: Keeper, key: Key] {
  k not in Crashed and some World.reserved[k][key]
  reports' = reports + World -> k -> key -> World.reserved[k][key]
  reserved' = reserved - World -> k -> key -> Token and spent' = spent
  returns' = returns
  Paid' = Paid and Free' = Free and logUnchanged and keepersUnchanged
}

-- The report stays in World, so that it may be delivered again.
pred deliverReport[k: Keeper, key: Key] {
  some World.reports[k][key]
  World.reports[k][key] in Log.granted[k]
  no Log.billed[key] --[unkeyed]
  billed' = billed + Log -> key -> k -> World.reports[k][key]
  granted' = granted - Log -> k -> World.reports[k][key]
  appliedReturns' = appliedReturns
  Paid' = Paid and Free' = Free and worldUnchanged and keepersUnchanged and limitsUnchanged
}

pred returnToken[k: Keeper, t: Token] {
  k not in Crashed and t in Log.granted[k]
  t not in committed[k]
  returns' = returns + World -> k -> t
  reserved' = reserved and reports' = reports and spent' = spent
  Paid' = Paid and Free' = Free and logUnchanged and keepersUnchanged
}

pred deliverReturn[k: Keeper, t: Token] {
  t in World.returns[k]
  t not in Log.appliedReturns[k] --[unnumbered]
  k not in Replaced --[unfenced]
  granted' = granted - Log -> k -> t and billed' = billed
  appliedReturns' = appliedReturns + Log -> k -> t
  Free' = Free + t and Paid' = Paid and worldUnchanged and keepersUnchanged and limitsUnchanged
}

pred crash[k: Keeper] {
  Crashed' = Crashed + k and Paused' = Paused and Replaced' = Replaced
  reserved' = reserved - World -> k -> Key -> Token
  reports' = reports and returns' = returns and spent' = spent
  Paid' = Paid and Free' = Free and logUnchanged
}

pred pause[k: Keeper] {
  Paused' = Paused + k and Crashed' = Crashed and Replaced' = Replaced
  Paid' = Paid and Free' = Free and logUnchanged and worldUnchanged
}

-- Sends a heartbeat with any limit that covers what the keeper has reserved so far.
pred sendHeartbeat[k: Keeper] {
  k not in Crashed and k not in Waiting
  World.spent[k] in World.(heartbeats')[k] and Waiting' = Waiting + k
  all other: Keeper - k | World.(heartbeats')[other] = World.heartbeats[other]
  limits' = limits and paced' = paced
  granted' = granted and billed' = billed and appliedReturns' = appliedReturns
  Paid' = Paid and Free' = Free and worldUnchanged and keepersUnchanged
}

-- Replaces the limit in the log. Its pace counts from the heartbeat, which was sent before.
pred deliverHeartbeat[k: Keeper] {
  k in Waiting and k not in Replaced
  limits' = limits - Log -> k -> Token + Log -> k -> World.heartbeats[k]
  paced' = paced - World -> k -> (Token - World.spent[k])
  heartbeats' = heartbeats - World -> k -> Token and Waiting' = Waiting - k
  granted' = granted and billed' = billed and appliedReturns' = appliedReturns
  Paid' = Paid and Free' = Free and worldUnchanged and keepersUnchanged
}

-- Time passes, so that the pace allows one more token.
pred elapse[k: Keeper, t: Token] {
  k not in Crashed
  paced' = paced + World -> k -> t
  limits' = limits and heartbeats' = heartbeats and Waiting' = Waiting
  granted' = granted and billed' = billed and appliedReturns' = appliedReturns
  Paid' = Paid and Free' = Free and worldUnchanged and keepersUnchanged
}

pred takeOver[k: Keeper] {
  k in Crashed and k not in Replaced
  Replaced' = Replaced + k and Crashed' = Crashed and Paused' = Paused
  let bound = Log.limits[k]
      + World.paced[k] --[unpaced]
      + none | {
    granted' = granted - Log -> k -> (Token - bound)
    Free' = Free + (Log.granted[k] - bound) and Paid' = Paid
  }
  billed' = billed and appliedReturns' = appliedReturns and worldUnchanged and limitsUnchanged
}

-- Models a timer that frees the tokens of a keeper which does not respond. The keeper may only be
-- paused and spend them later, so the protocol has no such timer.
pred reclaimByTimer[k: Keeper] {
  k in Paused
  granted' = granted - Log -> k -> Token and billed' = billed and appliedReturns' = appliedReturns
  Free' = Free + Log.granted[k] and Paid' = Paid and worldUnchanged and keepersUnchanged and limitsUnchanged
}

pred stutter {
  Paid' = Paid and Free' = Free and logUnchanged and worldUnchanged and keepersUnchanged
}

pred step {
  stutter
  or (some t: Token | topUp[t])
  or (some k: Keeper, t: Token | grant[k, t] or returnToken[k, t] or deliverReturn[k, t])
  or (some k: Keeper, key: Key, t: Token | reserveToken[k, key, t])
  or (some k: Keeper, key: Key | finishRequest[k, key] or deliverReport[k, key])
  or (some k: Keeper | crash[k] or pause[k] or takeOver[k])
  or (some k: Keeper | sendHeartbeat[k] or deliverHeartbeat[k])
  or (some k: Keeper, t: Token | elapse[k, t])
  or (some k: Keeper | none = univ and reclaimByTimer[k]) -- never holds: univ is not empty
  --[timer] or (some k: Keeper | reclaimByTimer[k])
}

fact { init and always step }

-- A token is reserved for or billed to at most one request, a reserved token is not free, no two
-- keepers spend the same token, also if one of them crashed, and all billed tokens were paid.
pred withinPaid {
  all t: Token {
    lone k: Keeper | t in World.spent[k]
    lone { k: Keeper, key: Key | t in World.reserved[k][key] or t in Log.billed[key][k] }
    (some k: Keeper, key: Key | t in World.reserved[k][key]) implies t not in Free
  }
  Key.(Log.billed[Key]) in Paid
}

pred balances {
  Paid = Free + Log.granted[Keeper] + (Key.(Log.billed))[Keeper]
  no Free & Log.granted[Keeper]
}

pred billedOnce { all key: Key | lone (Log.billed[key]).Token }

assert SpendStaysWithinWhatWasPaid { always withinPaid }
assert BooksBalance { always balances }
assert EachRequestIsBilledOnce { always billedOnce }

check SpendStaysWithinWhatWasPaid for 2 Token, 2 Key, 2 Keeper, 1..10 steps
check BooksBalance for 2 Token, 2 Key, 2 Keeper, 1..8 steps
check EachRequestIsBilledOnce for 2 Token, 1 Key, 2 Keeper, 1..12 steps
