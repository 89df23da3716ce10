-- The budget protocol. Tokens are atoms, so that one spent twice can be seen.
-- Log: free, open, billed, taken returns. Keepers: what they reserve, report and give back.
-- A record may be delivered any number of times, at any later time; a keeper that does nothing
-- for a while is paused; a dead one loses what it had not reported.
module budget

sig Token {}
sig Key {}
sig Keeper {}

var sig Paid in Token {}
var sig Free in Token {}
var sig Dead in Keeper {}
var sig Frozen in Keeper {}

one sig Log {
  var share: Keeper -> Token,
  var billed: Key -> Keeper -> Token,
  var takenReturns: Keeper -> Token
}

one sig World {
  var reserved: Keeper -> Key -> Token,
  var reports: Keeper -> Key -> Token,
  var returns: Keeper -> Token
}

fun bound[k: Keeper]: set Token {
  Key.(World.reserved[k]) + Key.(World.reports[k]) + World.returns[k]
}

pred init {
  no Paid and no Free and no Dead and no Frozen
  no share and no billed and no takenReturns
  no reserved and no reports and no returns
}

pred keepLog { share' = share and billed' = billed and takenReturns' = takenReturns }
pred keepWorld { reserved' = reserved and reports' = reports and returns' = returns }
pred keepKeepers { Dead' = Dead and Frozen' = Frozen }

pred topUp[t: Token] {
  t not in Paid
  Paid' = Paid + t and Free' = Free + t
  keepLog and keepWorld and keepKeepers
}

pred grant[k: Keeper, t: Token] {
  t in Free and k not in Dead
  Free' = Free - t and Paid' = Paid
  share' = share + Log -> k -> t and billed' = billed and takenReturns' = takenReturns
  keepWorld and keepKeepers
}

pred reserve[k: Keeper, key: Key, t: Token] {
  k not in Dead
  t in Log.share[k]
  t not in bound[k] --[unbound]
  no World.reserved[k][key] and no World.reports[k][key]
  reserved' = reserved + World -> k -> key -> t
  reports' = reports and returns' = returns
  Paid' = Paid and Free' = Free and keepLog and keepKeepers
}

pred finish[k: Keeper, key: Key] {
  k not in Dead and some World.reserved[k][key]
  reports' = reports + World -> k -> key -> World.reserved[k][key]
  reserved' = reserved - World -> k -> key -> Token
  returns' = returns
  Paid' = Paid and Free' = Free and keepLog and keepKeepers
}

-- The report stays in flight, so that it may be delivered again.
pred deliverReport[k: Keeper, key: Key] {
  some World.reports[k][key]
  World.reports[k][key] in Log.share[k]
  no Log.billed[key] --[unkeyed]
  billed' = billed + Log -> key -> k -> World.reports[k][key]
  share' = share - Log -> k -> World.reports[k][key]
  takenReturns' = takenReturns
  Paid' = Paid and Free' = Free and keepWorld and keepKeepers
}

pred giveBack[k: Keeper, t: Token] {
  k not in Dead and t in Log.share[k]
  t not in bound[k]
  returns' = returns + World -> k -> t
  reserved' = reserved and reports' = reports
  Paid' = Paid and Free' = Free and keepLog and keepKeepers
}

pred deliverReturn[k: Keeper, t: Token] {
  t in World.returns[k]
  t not in Log.takenReturns[k] --[unnumbered]
  share' = share - Log -> k -> t and billed' = billed
  takenReturns' = takenReturns + Log -> k -> t
  Free' = Free + t and Paid' = Paid and keepWorld and keepKeepers
}

pred die[k: Keeper] {
  Dead' = Dead + k and Frozen' = Frozen
  reserved' = reserved - World -> k -> Key -> Token
  reports' = reports and returns' = returns
  Paid' = Paid and Free' = Free and keepLog
}

pred freeze[k: Keeper] {
  Frozen' = Frozen + k and Dead' = Dead
  Paid' = Paid and Free' = Free and keepLog and keepWorld
}

-- What a timer would do: hand the share of a holder that looks away to others.
pred reclaim[k: Keeper] {
  k in Frozen
  share' = share - Log -> k -> Token and billed' = billed and takenReturns' = takenReturns
  Free' = Free + Log.share[k] and Paid' = Paid and keepWorld and keepKeepers
}

pred stutter { Paid' = Paid and Free' = Free and keepLog and keepWorld and keepKeepers }

pred step {
  stutter
  or (some t: Token | topUp[t])
  or (some k: Keeper, t: Token | grant[k, t] or giveBack[k, t] or deliverReturn[k, t])
  or (some k: Keeper, key: Key, t: Token | reserve[k, key, t])
  or (some k: Keeper, key: Key | finish[k, key] or deliverReport[k, key])
  or (some k: Keeper | die[k] or freeze[k])
  or (some k: Keeper | none = univ and reclaim[k]) --[guarded]
  --[timer] or (some k: Keeper | reclaim[k])
}

fact { init and always step }

-- A token that one request may spend is neither free nor spent by another request.
pred neverOverspent {
  all t: Token {
    lone { k: Keeper, key: Key | t in World.reserved[k][key] or t in Log.billed[key][k] }
    (some k: Keeper, key: Key | t in World.reserved[k][key]) implies t not in Free
  }
  Key.(Log.billed[Key]) in Paid
}

pred balances {
  Paid = Free + Log.share[Keeper] + (Key.(Log.billed))[Keeper]
  no Free & Log.share[Keeper]
}

pred billedOnce { all key: Key | lone (Log.billed[key]).Token }

assert SpendStaysWithinWhatWasPaid { always neverOverspent }
assert BooksBalance { always balances }
assert EachRequestIsBilledOnce { always billedOnce }

check SpendStaysWithinWhatWasPaid for 2 Token, 2 Key, 2 Keeper, 1..10 steps
check BooksBalance for 2 Token, 2 Key, 2 Keeper, 1..8 steps
check EachRequestIsBilledOnce for 2 Token, 1 Key, 2 Keeper, 1..12 steps
