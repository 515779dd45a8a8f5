import * as fs from 'node:fs';
import * as path from 'node:path';

/** Writes what was sent, answered and run to `record.txt` of a case, with the time since the start in milliseconds. */
export class Recorder {
  constructor(directory) {
    this._startedMs = Date.now();
    this._file = path.join(directory, 'record.txt');
    fs.writeFileSync(this._file, '');
  }

  /** Time since the start of the case, milliseconds. */
  get nowMs() {
    return Date.now() - this._startedMs;
  }

  write(who, what, fields = {}) {
    const values = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const line = [String(this.nowMs).padStart(7), who, what, ...values].join(' ');
    fs.appendFileSync(this._file, `${line}\n`);
  }

  /** Writes a line to the record and to the standard output. */
  say(text) {
    this.write('case', text);
    process.stdout.write(`${text}\n`);
  }
}
