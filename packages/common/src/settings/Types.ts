/** One fault of a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Section as written, without brackets; empty for a fault outside every section. */
  readonly section: string;
  readonly key?: string;
  /** Line counted from 1; absent for something that is missing altogether. */
  readonly line?: number;
  readonly message: string;
  /** Unit or form of a valid value. */
  readonly expected?: string;
}

/** A key with its value as text. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** A section `[kind]` or `[kind name]`. */
export interface IniSection {
  readonly title: string;
  readonly kind: string;
  /** Empty for a section without a name. */
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** A settings file with the position of every key. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  /** Faults of the form; a document with any must not be used. */
  readonly problems: readonly SettingsProblem[];
}

/** IP address and port of a settings file. */
export interface SettingsAddress {
  readonly host: string;
  readonly port: number;
}
