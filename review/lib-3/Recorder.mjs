import * as fs from 'node:fs';

/** Writes what was sent, answered and run, one line each, with milliseconds since the start. */
export class Recorder {
  #startedMs = Date.now();
  #lines = [];

  constructor(file) {
    this.file = file;
    this.write = (what, fields = {}) => {
      const atMs = Date.now() - this.#startedMs;
      this.#lines.push(`${String(atMs).padStart(6)} ${what} ${JSON.stringify(fields)}`);
    };
  }

  save() {
    fs.writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
  }
}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(file, play) {
  const recorder = new Recorder(file);
  let code = 2;
  try {
    const broken = await play(recorder.write, process.env.TROUBLE !== '0');
    code = broken ? 1 : 0;
    recorder.write('result', { broken });
  } catch (error) {
    recorder.write('could not run', { error: String(error?.stack ?? error) });
    console.error(error);
  }
  recorder.save();
  console.log(code === 1 ? 'broken' : code === 0 ? 'held' : 'could not run');
  process.exit(code);
}
