/** A problem in a settings file. */
export interface SettingsProblem {
  readonly file: string;
  /** Section as written, without brackets; empty for a problem outside of all sections. */
  readonly section: string;
  readonly key?: string;
  /** Line, counted from 1; absent if the problem has no line, for example a missing section. */
  readonly line?: number;
  readonly message: string;
  /** Unit or format of a valid value. */
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

/** A parsed settings file with the line of every key. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  /** Syntax problems. A document with any of them must not be used. */
  readonly problems: readonly SettingsProblem[];
}

/** IP address and port in a settings file. */
export interface SettingsAddress {
  readonly host: string;
  readonly port: number;
}
