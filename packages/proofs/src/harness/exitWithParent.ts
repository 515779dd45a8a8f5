/** Preloaded into processes of the harness: ends them when the test process is gone and cannot dispose of them. */
const checkIntervalMs = 1000;
const parent = process.ppid;

setInterval(() => {
  if (process.ppid !== parent) {
    process.exit(1);
  }
}, checkIntervalMs).unref();
