// Package agent is the process on an entry host of the platform. It accepts jobs from callers and either follows the holder of the scheduling lease or is the holder, which drives targets and hosts.
//
// A takeover takes these steps:
//  1. A follower sends heartbeats to the holder. Its detector finds the holder gone or unable to write to the store.
//  2. The follower reads the holder's record from the store and asks the other members whether they still hear the holder, unless the holder itself reported that it cannot write.
//  3. If they do not, it claims the next epoch by a conditional append and notifies the members.
//  4. It fences the writers of earlier epochs, loads jobs and progress, and schedules.
//
// A holder is deposed when it learns of a later epoch. It resigns when its process stops or when a member has a much larger CPU share.
package agent
