#pragma once

#include <filesystem>
#include <stdexcept>
#include <string>

#include <stdlib.h>

namespace peridotspar
{

/// A new folder for a test's files, removed with them at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "peridotspar.XXXXXX")
                .string();
        if (mkdtemp(name.data()) == nullptr)
        {
            throw std::runtime_error("cannot create " + name);
        }
        path_ = name;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] std::string file(const std::string& p_name) const
    {
        return (path_ / p_name).string();
    }

private:
    std::filesystem::path path_;
};

} // namespace peridotspar
