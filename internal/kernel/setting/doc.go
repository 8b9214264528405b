// Package setting reads JSON files strictly and says all that is wrong at once.
//
// A type describes its file by struct tags: json names the field; need:"true"
// makes it required; min and max bound a number; oneof lists allowed words;
// default fills an absent field; doc is its description in the schema.
//
//	var s setting.Instance
//	if err := setting.Decode(data, &s); err != nil {
//		// listen: expected host:port, got "x"; write an address such as 127.0.0.1:7100
//	}
//
// Schema turns the same tags into a JSON schema, so file, check and schema
// can't drift apart.
package setting
