// Package setting decodes JSON files strictly and reports all errors in a file at
// once, each with its path and a remedy.
//
// A type describes its file by struct tags: json names the field; need:"true"
// makes it required; min and max bound a number; oneof lists the allowed strings;
// default is the value of an absent field; doc is its description in the schema.
//
//	var s setting.Instance
//	if err := setting.Decode(data, &s); err != nil {
//		// listen: expected host:port, got "x"; write an address such as 127.0.0.1:7100
//	}
//
// Schema generates a JSON schema from the same tags, so that validation and schema
// can't differ. Instance is the settings file of an instance.
package setting
