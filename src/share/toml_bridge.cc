#include "share/toml_bridge.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

namespace
{

struct Entry {
	const toml::key *key;
	const toml::node *value;
};

mmx_tree_place_t place_of(const toml::source_region &region)
{
	return {static_cast<int>(region.begin.line),
		static_cast<int>(region.begin.column)};
}

mmx_tree_kind_t kind_of(const toml::node &node)
{
	switch (node.type()) {
	case toml::node_type::table:
		return MMX_TREE_TABLE;
	case toml::node_type::array:
		return MMX_TREE_ARRAY;
	case toml::node_type::string:
		return MMX_TREE_STRING;
	case toml::node_type::integer:
		return MMX_TREE_INTEGER;
	case toml::node_type::floating_point:
		return MMX_TREE_FLOAT;
	case toml::node_type::boolean:
		return MMX_TREE_BOOLEAN;
	case toml::node_type::date:
	case toml::node_type::time:
	case toml::node_type::date_time:
		return MMX_TREE_DATE;
	default:
		return MMX_TREE_NULL;
	}
}

bool is_before(const Entry &left, const Entry &right)
{
	const auto &a = left.key->source().begin;
	const auto &b = right.key->source().begin;

	return a.line != b.line ? a.line < b.line : a.column < b.column;
}

void copy_children(mmx_tree_node_t *into, const toml::node &from);

void copy_child(mmx_tree_node_t *into, const toml::key *key,
		const toml::node &value)
{
	std::string_view name = key ? key->str() : std::string_view{};
	mmx_tree_node_t *node = mmx_tree_add(into, key ? name.data() : nullptr,
					     name.size(), kind_of(value));

	mmx_tree_set_place(node,
			   key ? place_of(key->source()) : mmx_tree_place_t{},
			   place_of(value.source()));
	if (const auto *text = value.as_string())
		mmx_tree_set_string(node, text->get().data(),
				    text->get().size());
	else if (const auto *number = value.as_integer())
		mmx_tree_set_integer(node, number->get());
	else if (const auto *flag = value.as_boolean())
		mmx_tree_set_integer(node, flag->get() ? 1 : 0);
	else
		copy_children(node, value);
}

// toml++ keeps a table sorted by key; findings follow the order of the file.
void copy_children(mmx_tree_node_t *into, const toml::node &from)
{
	if (const auto *table = from.as_table()) {
		std::vector<Entry> entries;

		for (auto &&[key, value] : *table)
			entries.push_back({&key, &value});
		std::stable_sort(entries.begin(), entries.end(), is_before);
		for (const Entry &entry : entries)
			copy_child(into, entry.key, *entry.value);
	} else if (const auto *array = from.as_array()) {
		for (const toml::node &value : *array)
			copy_child(into, nullptr, value);
	}
}

bool read_file(const char *path, std::string &text, mmx_findings_t *findings)
{
	char buffer[16384];
	size_t length;
	FILE *stream = std::fopen(path, "rb");
	int error = errno;
	bool failed;

	if (!stream) {
		mmx_findings_add(findings, path, 0, 0, "cannot read file: %s",
				 std::strerror(error));
		return false;
	}
	while (text.size() <= MMX_TOML_FILE_MAX &&
	       (length = std::fread(buffer, 1, sizeof(buffer), stream)) > 0)
		text.append(buffer, length);
	error = errno;
	failed = std::ferror(stream) != 0;
	std::fclose(stream);
	if (failed)
		mmx_findings_add(findings, path, 0, 0, "cannot read file: %s",
				 std::strerror(error));
	else if (text.size() > MMX_TOML_FILE_MAX)
		mmx_findings_add(findings, path, 0, 0,
				 "file is longer than %lu bytes",
				 MMX_TOML_FILE_MAX);
	return !failed && text.size() <= MMX_TOML_FILE_MAX;
}

} // namespace

extern "C" mmx_tree_node_t *mmx_toml_parse(const char *file, const char *text,
					   size_t length,
					   mmx_findings_t *findings)
{
	mmx_tree_node_t *root = nullptr;

	try {
		toml::table table = toml::parse(std::string_view{text, length});

		root = mmx_tree_create();
		copy_children(root, table);
		return root;
	} catch (const toml::parse_error &error) {
		mmx_tree_place_t place = place_of(error.source());

		mmx_findings_add(findings, file, place.line, place.column,
				 "syntax error: %.*s",
				 static_cast<int>(error.description().size()),
				 error.description().data());
	} catch (const std::exception &error) {
		mmx_findings_add(findings, file, 0, 0, "cannot parse: %s",
				 error.what());
	}
	mmx_tree_destroy(root);
	return nullptr;
}

extern "C" mmx_tree_node_t *mmx_toml_parse_file(const char *path,
						mmx_findings_t *findings)
{
	std::string text;

	if (!read_file(path, text, findings))
		return nullptr;
	return mmx_toml_parse(path, text.data(), text.size(), findings);
}
