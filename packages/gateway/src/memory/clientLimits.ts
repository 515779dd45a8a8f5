import * as fs from 'node:fs';

const megabyte = 1024 * 1024;
/** Budget if the memory of the machine is unknown, bytes. */
const defaultBudgetBytes = 128 * megabyte;
/** Memory of the process without clients, with the garbage that its collector leaves, megabytes. It takes 30 to 60 and some. */
const processMegabytes = 100;
/** Share of the other memory for clients. The rest is for garbage that has been read and is not yet collected. */
const clientShare = 0.4;
/**
 * Memory of a request in progress whose response is not read, with the buffers and the garbage of both connections, bytes.
 * 390 of them took 323 KB each, and 288 KB left too little of the machine's memory.
 */
export const unreadResponseBytes = 384 * 1024;
/** Smallest budget, bytes: a few of the largest bodies. */
const minimumBudgetBytes = 16 * megabyte;

/** Descriptors if neither the settings nor the operating system state a limit. */
const defaultDescriptors = 4_096;
/** Descriptors for files, listeners, the store, and orders to replicas. */
const ownDescriptors = 64;
/** Share of the descriptors for peers: a leader has one connection for each other daemon. */
const peerShare = 1 / 4;
/** Share for each of the ports for status and metrics. */
const statusShare = 1 / 20;
const maximumStatusConnections = 64;

/** Upper limits of connections by port. */
export interface ConnectionLimits {
  readonly callers: number;
  readonly peers: number;
  /** Of each of the ports for status and metrics. */
  readonly status: number;
}

/** Memory that clients may hold together, bytes. */
export function memoryBudgetBytes(memoryMegabytes: number | undefined): number {
  return memoryMegabytes === undefined
    ? defaultBudgetBytes
    : Math.max((memoryMegabytes - processMegabytes) * clientShare * megabyte, minimumBudgetBytes);
}

/**
 * Requests in progress: each uses a connection to a replica, and all of their callers may stop reading at the same moment,
 * before any of them counts as stalled.
 */
export function requestLimit(budgetBytes: number, callerConnections: number): number {
  return Math.min(callerConnections, Math.floor(budgetBytes / clientShare / unreadResponseBytes));
}

/** Divides the descriptors of the process. */
export function connectionLimits(maximumDescriptors: number): ConnectionLimits {
  const peers = Math.floor(maximumDescriptors * peerShare);
  const status = Math.max(Math.min(Math.floor(maximumDescriptors * statusShare), maximumStatusConnections), 2);
  const rest = maximumDescriptors - ownDescriptors - peers - status * 2;
  return { callers: Math.max(Math.floor(rest / 2), 1), peers: Math.max(peers, 1), status };
}

/**
 * Descriptors that the process may open: the limit of the settings, or without one that of the operating system. The
 * latter may be lower where the platform counts descriptors itself; then accepting fails for a time, which is not fatal.
 */
export function descriptorLimit(settingsLimit: number | undefined): number {
  return settingsLimit ?? systemDescriptorLimit() ?? defaultDescriptors;
}

function systemDescriptorLimit(): number | undefined {
  try {
    const match = /^Max open files\s+(\d+)/m.exec(fs.readFileSync('/proc/self/limits', 'utf8'));
    return match === null ? undefined : Number(match[1]);
  } catch {
    // Only Linux has this file.
    return undefined;
  }
}
