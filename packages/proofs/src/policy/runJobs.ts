/** Distributes replays over worker threads. */
import { Worker } from 'node:worker_threads';
import type { ReplayJob, ReplayResult } from './replayWorker.js';

/** Returns the results in the order of the jobs, independent of the thread that ran each. */
export async function runJobs(jobs: readonly ReplayJob[], threads: number): Promise<readonly ReplayResult[]> {
  const results: ReplayResult[] = [];
  let next = 0;
  const runThread = async (): Promise<void> => {
    const worker = new Worker(new URL('./replayWorker.js', import.meta.url));
    try {
      for (let index = next++; index < jobs.length; index = next++) {
        const job = jobs[index];
        if (job !== undefined) {
          results[index] = await runOn(worker, job);
        }
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: threads }, runThread));
  return results;
}

function runOn(worker: Worker, job: ReplayJob): Promise<ReplayResult> {
  return new Promise((resolve, reject) => {
    worker.once('message', (result: ReplayResult) => {
      worker.off('error', reject);
      resolve(result);
    });
    worker.once('error', reject);
    worker.postMessage(job);
  });
}
