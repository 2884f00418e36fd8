const settingsOption = '--settings';

/**
 Settings file that the words of `gateway` name; `undefined` when they name none.

 @example
 findSettingsFile(['gateway', '--settings', 'gateway.toml']); // 'gateway.toml'
 */
export function findSettingsFile(words: readonly string[]): string | undefined {
	const index = words.indexOf(settingsOption);
	return index === -1 ? undefined : words[index + 1];
}
