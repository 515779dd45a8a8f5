/** Preloaded into processes of the harness: ends the process when the test process has died without disposing of it. */
const checkIntervalMs = 1000;
const parent = process.ppid;

setInterval(() => {
  if (process.ppid !== parent) {
    process.exit(1);
  }
}, checkIntervalMs).unref();
