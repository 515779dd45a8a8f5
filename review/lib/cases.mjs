/** Frame of a script: a temporary folder, the record, the disruption switch and the end of all processes. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

export const hasTrouble = process.env.TROUBLE !== '0';
const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** Lines of record.txt, with seconds since the start of the script. */
export class CaseRecord {
  #startedMs = Date.now();
  #lines = [];

  add(text, atMs = Date.now()) {
    this.#lines.push(`${((atMs - this.#startedMs) / 1000).toFixed(3)} ${text}`);
  }

  write(folder) {
    fs.writeFileSync(path.join(folder, 'record.txt'), `${this.#lines.join('\n')}\n`);
  }
}

/**
 * Runs a case. `play` gets the record, a temporary folder and a list to which it adds what has to be stopped; it returns
 * the breaches of the rule, one text each. The process exits with 1 if there are any, 0 if not, 2 if the case failed.
 */
export async function runCase(folder, limitMs, play) {
  const record = new CaseRecord();
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  const stops = [];
  let code = exitCodes.notRun;
  try {
    const limit = new Promise((_, reject) => {
      setTimeout(() => reject(new Error('the script took too long')), limitMs);
    });
    const breaches = await Promise.race([play({ record, temporary, stops }), limit]);
    code = breaches.length === 0 ? exitCodes.held : exitCodes.broken;
    for (const breach of breaches) {
      record.add(`BROKEN ${breach}`);
      console.log(`broken: ${breach}`);
    }
    console.log(code === exitCodes.held ? 'held' : 'broken');
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.stack}`);
  }
  for (const stop of stops) {
    await stop();
  }
  fs.rmSync(temporary, { recursive: true, force: true });
  record.write(folder);
  process.exit(code);
}
