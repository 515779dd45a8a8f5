export * from './Types.js';
export * from './daemonSettings.js';
export * from './fields.js';
export * from './IniReader.js';
export * from './nearestName.js';
export * from './SectionChecker.js';
