// Package agent is the process on an entry host of the platform. It accepts jobs from callers and either follows the holder of the scheduling lease or is the holder, which drives targets and hosts.
//
// A takeover takes these steps. A follower sends heartbeats to the holder; when its detector finds the holder gone or unable to write to the store, it reads the holder's record from the store and asks the other members whether they still hear the holder. If they do not, it claims the next epoch by a conditional append, notifies the members, fences the writers of earlier epochs, loads jobs and progress, and schedules. A holder is deposed when it sees a later epoch, and resigns when its process stops or a member has a much larger CPU share.
package agent
